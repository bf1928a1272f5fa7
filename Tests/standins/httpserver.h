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
struct Target
{
    explicit Target(std::string_view text);

    /// The path segment at @p index, or "" when there are fewer.
    std::string segment(std::size_t index) const;
    std::string get(const std::string &name, const std::string &otherwise = "") const;
    double number(const std::string &name, double otherwise) const;

    std::vector<std::string> path;
    std::map<std::string, std::string> parameters;
};

class HttpServer;

/// One accepted connection. Requests are handed over one at a time. Thread safety: the thread of its io_context.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, HttpServer *server);

    /// Answers the request that was handed over last. Does nothing when the connection is closed or silent.
    void reply(HttpResponse response);
    void close();

    /// Requests handed over so far.
    int requests = 0;
    /// Set by HttpServer::silence(): nothing is answered or handed over any more.
    bool silent = false;
    /// For the owner of the server.
    bool marked = false;

private:
    friend class HttpServer;
    void readNext();
    void handOver();

    boost::asio::ip::tcp::socket socket;
    HttpServer *server;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    std::deque<HttpRequest> waiting;
    HttpResponse response;
    bool busy = false;
};

using ConnectionPointer = std::shared_ptr<HttpConnection>;

/**
 * HTTP/1.1 server on 127.0.0.1 that reads ahead, so that it sees a connection close while a request runs.
 * Thread safety: the thread of its io_context; it outlives that thread's run().
 */
class HttpServer
{
public:
    explicit HttpServer(boost::asio::io_context &context);

    /// Listens on @p port (0 takes a free one) and returns the bound port. Throws when the port is taken.
    std::uint16_t listen(std::uint16_t port);
    /// Closes the listener; connections stay.
    void stopListening();
    void closeAll();
    /// Makes all present connections silent: they stay open and answer nothing.
    void silence();
    std::size_t connectionCount() const;

    /// Returns false to have a new connection closed at once.
    std::function<bool(const ConnectionPointer &)> accepted = [](const ConnectionPointer &) {
        return true;
    };
    std::function<void(const ConnectionPointer &, HttpRequest)> requested;
    std::function<void(const ConnectionPointer &)> closed = [](const ConnectionPointer &) {
    };

private:
    friend class HttpConnection;
    void acceptNext();

    boost::asio::ip::tcp::acceptor acceptor;
    std::set<ConnectionPointer> connections;
};

/// Joins repeated "--name value" arguments into one comma-separated value, because gflags keeps only the last.
std::vector<std::string> joinRepeated(int argc, char **argv, const std::string &name);

/// Splits at commas; no empty items.
std::vector<std::string> splitList(const std::string &text);

/// Parses arguments with gflags, after joining repeated @p name. Ends the program when a flag is wrong.
void parseArguments(int argc, char **argv, const std::string &name);

/// Prints "ready <text>" and runs @p context until SIGTERM or SIGINT.
void runUntilSignal(boost::asio::io_context &context, const std::string &text);

}
