#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Integration
{

/// A child process of the test. It is killed when the object goes away.
class Process
{
public:
    Process() = default;
    /// Starts a program with its output in @p logFile.
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    void signal(int number) const;
    /// Exit code, or -1 when the process did not end within @p bound; a signal's number is added to 128.
    int wait(std::chrono::milliseconds bound);
    /// False once the process has ended by itself or was waited for.
    bool alive();
    pid_t id() const;

private:
    pid_t child = 0;
};

/// Asks @p condition until it is true; false when it was not within @p bound.
bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds bound);

std::string readFile(const std::string &path);
void writeFile(const std::string &path, const std::string &text);

}
