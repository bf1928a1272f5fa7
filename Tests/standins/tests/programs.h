#pragma once

#include "httpserver.h"

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Standins
{

/// Upper limit for each condition that the tests wait for, sufficient on a busy machine.
constexpr auto testTimeout = std::chrono::seconds(10);

/// A file in /tmp that the destructor removes.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content = "");
    ~TemporaryFile();
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string read() const;

    std::string path;
};

/// One of the stand-in programs. The destructor ends it by SIGTERM and waits for it.
class Program
{
public:
    /// Starts the program and reads its first output line. Throws std::runtime_error if it cannot be started.
    Program(const std::string &name, std::vector<std::string> arguments);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /// Returns the ports of "name=1,2" in the first output line. Throws std::runtime_error if there are none.
    std::vector<std::uint16_t> ports(const std::string &name) const;
    /// Waits until the program has ended. Returns its exit code, or -1 if a signal ended it.
    int wait();
    /// Returns the next output line, or "" at the end of the output.
    std::string readLine();
    const std::string &firstLine() const;

private:
    pid_t process = 0;
    int output = -1;
    std::string readyLine;
};

/// A blocking HTTP connection to 127.0.0.1.
class Client
{
public:
    explicit Client(std::uint16_t port);

    void send(const std::string &method,
              const std::string &path,
              const std::string &body = "",
              const std::map<std::string, std::string> &headers = {});
    /// Returns the response; its status is 0 if the connection was closed, and 1 if there was no response within @p
    /// timeout.
    HttpResponse receive(std::chrono::milliseconds timeout = testTimeout);

private:
    boost::asio::io_context context { 1 };
    boost::asio::ip::tcp::socket socket { context };
    boost::beast::flat_buffer buffer;
};

/// Sends one request on a new connection and returns the response, see Client::receive().
HttpResponse exchange(std::uint16_t port,
                      const std::string &method,
                      const std::string &path,
                      const std::string &body = "",
                      const std::map<std::string, std::string> &headers = {});

/// Polls @p condition until it holds, at most for testTimeout. Returns whether it holds.
bool eventually(const std::function<bool()> &condition);

}
