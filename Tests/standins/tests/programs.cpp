#include "programs.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Standins
{

namespace http = boost::beast::http;

TemporaryFile::TemporaryFile(const std::string &content)
{
    std::string name = "/tmp/standins-XXXXXX";
    const int file = mkstemp(name.data());
    if (file < 0) {
        throw std::runtime_error("cannot create a file in /tmp");
    }
    close(file);
    this->path = name;
    std::ofstream(this->path) << content;
}

TemporaryFile::~TemporaryFile()
{
    std::remove(this->path.c_str());
}

std::string TemporaryFile::read() const
{
    std::ifstream stream(this->path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

Program::Program(const std::string &name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), std::string(STANDIN_PROGRAMS) + "/" + name);
    std::vector<char *> pointers;
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    int pipe[2];
    if (pipe2(pipe, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
    const int error = posix_spawn(&this->process, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe[1]);
    this->output = pipe[0];
    if (error != 0) {
        throw std::runtime_error("cannot start " + arguments[0]);
    }
    this->readyLine = this->readLine();
}

Program::~Program()
{
    if (this->process > 0) {
        kill(this->process, SIGTERM);
        this->wait();
    }
    close(this->output);
}

std::string Program::readLine()
{
    std::string line;
    for (char letter = 0; ::read(this->output, &letter, 1) == 1 && letter != '\n';) {
        line += letter;
    }
    return line;
}

std::vector<std::uint16_t> Program::ports(const std::string &name) const
{
    std::vector<std::uint16_t> ports;
    std::istringstream words(this->readyLine);
    for (std::string word; words >> word;) {
        if (word.rfind(name + "=", 0) == 0) {
            for (const std::string &port : splitList(word.substr(name.size() + 1))) {
                ports.push_back(static_cast<std::uint16_t>(std::stoi(port)));
            }
        }
    }
    if (ports.empty()) {
        throw std::runtime_error("no port \"" + name + "\" in: " + this->readyLine);
    }
    return ports;
}

const std::string &Program::firstLine() const
{
    return this->readyLine;
}

int Program::wait()
{
    int status = 0;
    waitpid(this->process, &status, 0);
    this->process = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Client::Client(std::uint16_t port)
{
    this->socket.connect({ boost::asio::ip::address_v4::loopback(), port });
}

void Client::send(const std::string &method,
                  const std::string &path,
                  const std::string &body,
                  const std::map<std::string, std::string> &headers)
{
    HttpRequest request(http::string_to_verb(method), path, 11, body);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.prepare_payload();
    boost::system::error_code ignored;
    http::write(this->socket, request, ignored);
}

HttpResponse Client::receive(std::chrono::milliseconds timeout)
{
    HttpResponse response;
    response.result(1U);
    bool done = false;
    http::async_read(this->socket, this->buffer, response, [&](const boost::system::error_code &error, std::size_t) {
        done = true;
        if (error) {
            response.result(0U);
        }
    });
    this->context.restart();
    this->context.run_for(timeout);
    if (!done) {
        this->socket.cancel();
        this->context.restart();
        this->context.run();
        response.result(1U);
    }
    return response;
}

HttpResponse exchange(std::uint16_t port,
                      const std::string &method,
                      const std::string &path,
                      const std::string &body,
                      const std::map<std::string, std::string> &headers)
{
    Client client(port);
    client.send(method, path, body, headers);
    return client.receive();
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

}
