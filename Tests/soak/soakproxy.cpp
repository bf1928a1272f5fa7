#include "soakproxy.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Soak
{

namespace
{

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

std::vector<std::string> makeArguments(const std::vector<std::string> &targets)
{
    std::vector<std::string> arguments;
    for (const std::string &target : targets) {
        arguments.push_back("--route=0=" + target);
    }
    return arguments;
}

/// The word after @p name in the line "ready port=P,P,... control=P"; empty if the line is not complete.
std::string valueOf(const std::string &line, const std::string &name)
{
    const std::size_t start = line.find(name);
    const std::size_t end = line.find_first_of(" \n", start);
    const bool isComplete = start != std::string::npos && end != std::string::npos;
    return isComplete ? line.substr(start + name.size(), end - start - name.size()) : "";
}

}

SoakProxy::SoakProxy(const std::vector<std::string> &targets, const std::string &folder)
    : process(FAULT_PROXY, makeArguments(targets), folder + "/proxy.log")
{
    const std::string log = folder + "/proxy.log";
    const auto isReady = [&log] {
        return !valueOf(Integration::readFile(log), "control=").empty();
    };
    if (!Integration::waitFor(isReady, std::chrono::seconds(10))) {
        throw std::runtime_error("the fault proxy did not become ready");
    }
    const std::string line = Integration::readFile(log);
    this->controlPort = static_cast<std::uint16_t>(std::stoi(valueOf(line, "control=")));
    std::istringstream list(valueOf(line, "port="));
    std::string port;
    while (std::getline(list, port, ',')) {
        this->ports.push_back(port);
    }
    if (this->ports.size() != targets.size()) {
        throw std::runtime_error("the fault proxy has " + std::to_string(this->ports.size()) + " routes");
    }
}

std::string SoakProxy::addressOf(std::size_t target) const
{
    return "127.0.0.1:" + this->ports.at(target);
}

void SoakProxy::command(const std::string &text) const
{
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({ boost::asio::ip::address_v4::loopback(), this->controlPort });
    http::request<http::empty_body> request(http::verb::post, text, 11);
    request.set(http::field::host, "proxy");
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response);
    if (response.result() != http::status::ok) {
        throw std::runtime_error("the fault proxy refused " + text);
    }
}

void SoakProxy::silence(std::size_t target)
{
    this->command("/" + this->ports.at(target) + "/silence");
}

void SoakProxy::heal(std::size_t target)
{
    this->command("/" + this->ports.at(target) + "/heal");
}

void SoakProxy::disturb(std::mt19937 &random)
{
    constexpr std::array<const char *, 6> faults { "delay?ms=200",          "cut",  "silence", "oneway?direction=up",
                                                   "oneway?direction=down", "block" };
    constexpr std::size_t mostRoutes = 3;
    std::vector<std::string> disturbed;
    for (std::size_t count = 1 + random() % mostRoutes; count > 0; --count) {
        disturbed.push_back(this->ports.at(random() % this->ports.size()));
        this->command("/" + disturbed.back() + "/" + faults.at(random() % faults.size()));
    }
    std::uniform_real_distribution<double> duration(0.2, 2);
    std::this_thread::sleep_for(std::chrono::duration<double>(duration(random)));
    for (const std::string &port : disturbed) {
        this->command("/" + port + "/delay?ms=0");
        this->command("/" + port + "/heal");
    }
}

}
