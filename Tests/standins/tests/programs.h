#pragma once

#include "httpserver.h"

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Standins
{

/// No condition of these tests takes longer on a busy machine.
constexpr auto testBound = std::chrono::seconds(10);

/// A file in the temporary folder that is removed at the end.
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

/// One of the stand-in programs, ended by SIGTERM.
class Program
{
public:
    /// Starts the program and reads its first line.
    Program(const std::string &name, std::vector<std::string> arguments);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /// The ports of "name=1,2" in the first line.
    std::vector<std::uint16_t> ports(const std::string &name) const;
    /// Waits for the end and returns the exit code.
    int wait();
    std::string readLine();
    const std::string &firstLine() const;

private:
    pid_t process = 0;
    int output = -1;
    std::string ready;
};

/// A blocking client connection that gives up after @p bound.
class Client
{
public:
    explicit Client(std::uint16_t port);

    void send(const std::string &method,
              const std::string &path,
              const std::string &body = "",
              const std::map<std::string, std::string> &headers = {});
    /// The answer, or status 0 when the connection closed, or status 1 when there was none within @p bound.
    HttpResponse receive(std::chrono::milliseconds bound = testBound);

private:
    boost::asio::io_context context { 1 };
    boost::asio::ip::tcp::socket socket { context };
    boost::beast::flat_buffer buffer;
};

HttpResponse exchange(std::uint16_t port,
                      const std::string &method,
                      const std::string &path,
                      const std::string &body = "",
                      const std::map<std::string, std::string> &headers = {});

/// Polls @p condition until it holds or the bound of the tests has passed.
bool eventually(const std::function<bool()> &condition);

}
