#include "process.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char **environ;

namespace Integration
{

namespace
{

constexpr std::chrono::milliseconds pollInterval { 10 };

}

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> raw;
    for (std::string &word : words) {
        raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&this->child, program.c_str(), &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

Process::~Process()
{
    if (this->child > 0) {
        ::kill(this->child, SIGKILL);
        ::waitpid(this->child, nullptr, 0);
    }
}

Process::Process(Process &&other) noexcept
    : child(std::exchange(other.child, 0))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(this->child, other.child);
    return *this;
}

void Process::signal(int number) const
{
    if (this->child > 0) {
        ::kill(this->child, number);
    }
}

int Process::wait(std::chrono::milliseconds bound)
{
    int status = 0;
    const bool ended = waitFor([&] { return ::waitpid(this->child, &status, WNOHANG) == this->child; }, bound);
    if (!ended) {
        return -1;
    }
    this->child = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Process::alive()
{
    if (this->child > 0 && ::waitpid(this->child, nullptr, WNOHANG) == this->child) {
        this->child = 0;
    }
    return this->child > 0;
}

pid_t Process::id() const
{
    return this->child;
}

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

}
