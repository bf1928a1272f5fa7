#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Standins
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

HttpResponse textResponse(int status, std::string body);
HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// Path segments and query parameters of a request target. Percent escapes are not decoded.
struct RequestTarget
{
    explicit RequestTarget(std::string_view text);

    /// Returns the path segment at @p index, or "" if there are fewer segments.
    std::string segment(std::size_t index) const;
    std::string parameter(const std::string &name, const std::string &defaultValue = "") const;
    double number(const std::string &name, double defaultValue) const;

    std::vector<std::string> path;
    std::map<std::string, std::string> parameters;
};

class HttpServer;

/// One accepted connection, whose requests are handled one at a time. Thread safety: only the thread of its io_context.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, HttpServer *server);

    /// Sends the response to the request that was dispatched last. No-op if the connection is closed or unresponsive.
    void reply(HttpResponse response);
    void close();

    /// Number of requests dispatched so far.
    int requestCount = 0;
    /// True after HttpServer::makeUnresponsive(): no response is sent and no request is dispatched any more.
    bool unresponsive = false;
    /// Set by the acceptHandler for a connection above the connection limit of the endpoint.
    bool aboveCap = false;

private:
    friend class HttpServer;
    void readNext();
    void dispatchNext();

    boost::asio::ip::tcp::socket socket;
    HttpServer *server;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    std::deque<HttpRequest> pendingRequests;
    HttpResponse response;
    bool busy = false;
};

using ConnectionPointer = std::shared_ptr<HttpConnection>;

/**
 * HTTP/1.1 server on 127.0.0.1 that keeps reading while a request runs, to detect that the client closes the
 * connection. Thread safety: only the thread of its io_context. The server must outlive that thread's run().
 */
class HttpServer
{
public:
    explicit HttpServer(boost::asio::io_context &context);

    /// Listens on @p port (0 for any free port) and returns the bound port. Throws if the port is in use.
    std::uint16_t listen(std::uint16_t port);
    /// Closes the listener; connections stay open.
    void stopListening();
    void closeAll();
    /// Makes all current connections unresponsive: they stay open, but get no responses.
    void makeUnresponsive();
    std::size_t connectionCount() const;

    /// Called for each new connection; if it returns false, the connection is closed immediately.
    std::function<bool(const ConnectionPointer &)> acceptHandler = [](const ConnectionPointer &) {
        return true;
    };
    std::function<void(const ConnectionPointer &, HttpRequest)> requestHandler;
    std::function<void(const ConnectionPointer &)> closeHandler = [](const ConnectionPointer &) {
    };

private:
    friend class HttpConnection;
    void acceptNext();

    boost::asio::ip::tcp::acceptor acceptor;
    std::set<ConnectionPointer> connections;
};

/// Joins the values of a repeated flag @p name with commas into one flag, because gflags keeps the last value only.
std::vector<std::string> joinRepeatedFlags(int argc, char **argv, const std::string &name);

/// Splits at commas and drops empty items.
std::vector<std::string> splitList(const std::string &text);

/// Calls joinRepeatedFlags() for @p name and parses the arguments with gflags. Exits the program on an invalid flag.
void parseArguments(int argc, char **argv, const std::string &name);

/// Prints "ready <text>" and runs @p context until SIGTERM or SIGINT.
void runUntilSignal(boost::asio::io_context &context, const std::string &text);

}
