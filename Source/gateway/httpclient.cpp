#include "gateway/httpclient.h"

#include "runtime/httpstatus.h"
#include "runtime/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// Longest pause between two parts of a response. The time for the whole response is not limited as strictly, because
/// the link or either process may be slow.
constexpr std::chrono::milliseconds progressTimeout { 500 };
/// Time for the whole response after its first part.
constexpr std::chrono::seconds transferTimeout { 5 };
/// Far below the memory of an instance, as the body is copied while it grows.
constexpr std::uint64_t responseBodyLimit = std::uint64_t { 16 } * 1024 * 1024;

std::error_code toFeedError(const beast::error_code &error)
{
    if (error == http::error::body_limit) {
        return make_error_code(FeedError::ResponseTooLarge);
    }
    return error == beast::error::timeout ? make_error_code(FeedError::TimedOut)
                                          : make_error_code(FeedError::Unreachable);
}

}

struct HttpClient::Connection
{
    explicit Connection(asio::io_context &io)
        : stream(io)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// A request in flight; it lives until its callback has run.
class HttpClient::Request : public std::enable_shared_from_this<Request>
{
public:
    Request(HttpClient &httpClient, std::shared_ptr<Connection> requestConnection, Callback callback)
        : client(httpClient)
        , connection(std::move(requestConnection))
        , done(std::move(callback))
    {
    }

    void prepare(const std::string &target)
    {
        this->message.method(http::verb::get);
        this->message.target(target);
        this->message.version(11);
        this->message.set(http::field::host, this->client.address);
        this->parser.body_limit(responseBodyLimit);
        this->parser.eager(true);
    }

    void connect(const asio::ip::tcp::endpoint &endpoint)
    {
        this->connection->stream.async_connect(
            endpoint, [self = this->shared_from_this()](const beast::error_code &error) {
                if (error) {
                    self->fail(error);
                    return;
                }
                self->connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
                self->write();
            });
    }

    /// True once the first part of the response has arrived.
    bool hasResponseBegun() const
    {
        return this->transferDeadline.has_value();
    }

    void write()
    {
        http::async_write(this->connection->stream,
                          this->message,
                          [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                              if (error) {
                                  self->fail(error);
                                  return;
                              }
                              self->read();
                          });
    }

private:
    void read()
    {
        http::async_read_some(this->connection->stream,
                              this->connection->buffer,
                              this->parser,
                              [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                                  self->handleRead(error);
                              });
    }

    void handleRead(const beast::error_code &error)
    {
        if (error) {
            this->fail(error);
            return;
        }
        // Interim responses fail too: no request asks for one, and they could go on without end.
        if (this->parser.is_header_done() && !isFinalStatus(this->parser.get().result_int())) {
            this->closeConnection();
            this->done(make_error_code(FeedError::MalformedResponse));
            return;
        }
        if (this->parser.is_done()) {
            this->succeed();
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        if (!this->transferDeadline) {
            this->transferDeadline = now + transferTimeout;
        }
        this->connection->stream.expires_at(std::min(now + progressTimeout, *this->transferDeadline));
        this->read();
    }

    void succeed()
    {
        this->connection->stream.expires_never();
        const bool reusable = this->parser.get().keep_alive() && this->connection->buffer.size() == 0;
        if (!reusable) {
            this->closeConnection();
        }
        HttpClientResponse response;
        response.status = static_cast<int>(this->parser.get().result_int());
        response.body = std::move(this->parser.get().body());
        response.header = std::move(this->parser.get().base());
        this->done(std::move(response));
    }

    void fail(const beast::error_code &error)
    {
        this->closeConnection();
        this->done(toFeedError(error));
    }

    void closeConnection()
    {
        this->connection->stream.close();
        if (this->client.connection == this->connection) {
            this->client.connection.reset();
        }
    }

    HttpClient &client;
    std::shared_ptr<Connection> connection;
    Callback done;
    http::request<http::empty_body> message;
    http::response_parser<http::string_body> parser;
    /// Set when the first part of the response has arrived.
    std::optional<std::chrono::steady_clock::time_point> transferDeadline;
};

HttpClient::HttpClient(asio::io_context &ioContext, std::string remoteAddress)
    : io(ioContext)
    , address(std::move(remoteAddress))
{
}

void HttpClient::cancelUnanswered()
{
    const auto request = this->requestInFlight.lock();
    const bool isResponseArriving = request && request->hasResponseBegun();
    if (this->connection && !isResponseArriving) {
        this->connection->stream.close();
        this->connection.reset();
    }
}

void HttpClient::get(const std::string &target, std::chrono::milliseconds timeout, Callback done)
{
    const bool isNew = !this->connection;
    if (isNew) {
        this->connection = std::make_shared<Connection>(this->io);
    }
    const auto request = std::make_shared<Request>(*this, this->connection, std::move(done));
    this->requestInFlight = request;
    request->prepare(target);
    this->connection->stream.expires_after(timeout);
    if (!isNew) {
        request->write();
        return;
    }
    const auto endpoint = parseAddress(this->address);
    if (!endpoint) {
        this->connection.reset();
        // Writing to the unconnected stream fails, which reports the invalid address outside of get().
        asio::post(this->io, [request] { request->write(); });
        return;
    }
    request->connect(endpoint.value());
}

}
