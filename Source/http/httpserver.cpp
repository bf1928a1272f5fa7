#include "http/httpserver.h"

#include "runtime/await.h"
#include "runtime/httppayload.h"
#include "runtime/listener.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <netinet/tcp.h>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace
{

/// A connection whose data stays unacknowledged for this long is dropped by the kernel.
constexpr int userTimeoutMs = 10'000;
constexpr int keepAliveIdleSeconds = 10;
constexpr int keepAliveIntervalSeconds = 3;
constexpr int keepAliveProbes = 3;
constexpr int millisecondsPerSecond = 1000;

void setOption(tcp::socket &socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

/// Makes the kernel notice peers that have lost track of the connection.
void detectSilence(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

Refusal refusalOf(const beast::error_code &error)
{
    if (error == http::error::header_limit) {
        return Refusal::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Refusal::BodyTooLarge;
    }
    if (error == beast::error::timeout) {
        return Refusal::RequestTimeout;
    }
    return Refusal::BadRequest;
}

/// True for errors after which no answer can or should be sent.
bool endsSilently(const beast::error_code &error)
{
    return error == http::error::end_of_stream || error == asio::error::operation_aborted
        || error == asio::error::connection_reset || error == asio::error::bad_descriptor || error == asio::error::eof;
}

}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(std::vector<Worker *> serverWorkers,
          const HttpLimits &serverLimits,
          HttpHandler &serverHandler,
          Counters &serverCounters)
        : workers(std::move(serverWorkers))
        , limits(serverLimits)
        , handler(serverHandler)
        , counters(serverCounters)
        , acceptor(workers.front()->context())
    {
    }

    /// One accepted connection. Used on the thread of its worker only.
    struct Connection
    {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool waiting = false;
    };

    /// What the response depends on.
    struct RequestInfo
    {
        http::verb method = http::verb::unknown;
        unsigned version = 11;
        bool keepAlive = false;
    };

    void acceptLoop();
    void serve(const std::shared_ptr<Connection> &connection);
    bool serveRequest(Connection &connection);
    beast::error_code awaitFirstByte(Connection &connection);
    bool refuse(Connection &connection, const beast::error_code &error, http::verb method);
    bool write(Connection &connection, const HttpResponse &answer, const RequestInfo &request);
    void closeConnections();

    std::vector<Worker *> workers;
    HttpLimits limits;
    HttpHandler &handler;
    Counters &counters;
    tcp::acceptor acceptor;
    std::uint16_t port = 0;
    std::atomic<std::size_t> open { 0 };
    std::atomic<std::size_t> active { 0 };
    std::atomic<bool> closing { false };
    std::atomic<bool> closingIdle { false };

    struct Registered
    {
        std::weak_ptr<Connection> connection;
        Worker *worker;
    };
    std::mutex mutex;
    std::map<Connection *, Registered> connections;
};

void HttpServer::State::acceptLoop()
{
    std::size_t next = 0;
    while (this->acceptor.is_open()) {
        Worker *worker = this->workers[next++ % this->workers.size()];
        auto accepted = std::make_shared<tcp::socket>(worker->context());
        const auto error = awaitCompletion([&](auto done) { this->acceptor.async_accept(*accepted, std::move(done)); });
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            return;
        }
        if (error) {
            this->counters.counter("lycheewall_http_accept_errors_total").add();
            continue;
        }
        if (this->open.load() >= this->limits.connections) {
            this->counters.countRefusal(Refusal::TooManyConnections);
            continue;
        }
        this->open.fetch_add(1);
        worker->spawn([self = this->shared_from_this(), worker, accepted] {
            detectSilence(*accepted);
            auto connection = std::make_shared<Connection>(std::move(*accepted));
            {
                const std::lock_guard lock(self->mutex);
                self->connections[connection.get()] = { connection, worker };
            }
            self->serve(connection);
            {
                const std::lock_guard lock(self->mutex);
                self->connections.erase(connection.get());
            }
            self->open.fetch_sub(1);
        });
    }
}

void HttpServer::State::serve(const std::shared_ptr<Connection> &connection)
{
    bool goOn = true;
    while (goOn) {
        const auto error = this->awaitFirstByte(*connection);
        if (error) {
            break;
        }
        this->active.fetch_add(1);
        goOn = this->serveRequest(*connection);
        this->active.fetch_sub(1);
    }
    beast::error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->stream.close();
}

beast::error_code HttpServer::State::awaitFirstByte(Connection &connection)
{
    if (connection.buffer.size() > 0) {
        return {};
    }
    if (this->closingIdle.load()) {
        return asio::error::operation_aborted;
    }
    connection.waiting = true;
    connection.stream.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(this->limits.idle));
    const auto [error, size] = awaitValue<std::size_t>(
        [&](auto done) { connection.stream.async_read_some(connection.buffer.prepare(4096), std::move(done)); });
    connection.waiting = false;
    if (!error) {
        connection.buffer.commit(size);
    }
    return error;
}

bool HttpServer::State::serveRequest(Connection &connection)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(this->limits.headerBytes);
    parser.body_limit(this->limits.bodyBytes);
    connection.stream.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(this->limits.transfer));
    const auto [error, size] = awaitValue<std::size_t>(
        [&](auto done) { http::async_read(connection.stream, connection.buffer, parser, std::move(done)); });
    if (error) {
        return this->refuse(connection, error, parser.get().method());
    }
    const auto &message = parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    if (const auto field = message.find(http::field::authorization); field != message.end()) {
        request.authorization = std::string(field->value());
    }
    connection.stream.expires_never();
    const HttpResponse answer = this->handler.handle(request);
    return this->write(connection, answer, { message.method(), message.version(), message.keep_alive() });
}

bool HttpServer::State::refuse(Connection &connection, const beast::error_code &error, http::verb method)
{
    if (!endsSilently(error)) {
        RequestInfo request;
        request.method = method;
        this->write(connection, this->handler.refuse(refusalOf(error)), request);
    }
    return false;
}

bool HttpServer::State::write(Connection &connection, const HttpResponse &answer, const RequestInfo &request)
{
    const bool stays = request.keepAlive && !this->closing.load() && !this->closingIdle.load();
    http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version, answer.body);
    response.set(http::field::content_type, answer.contentType);
    if (answer.retryAfterMs) {
        const auto seconds = (*answer.retryAfterMs + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.set(http::field::retry_after, std::to_string(seconds));
    }
    response.keep_alive(stays);
    preparePayload(response, request.method);
    connection.stream.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(this->limits.transfer));
    const auto [error, size]
        = awaitValue<std::size_t>([&](auto done) { http::async_write(connection.stream, response, std::move(done)); });
    return !error && stays;
}

void HttpServer::State::closeConnections()
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[key, registered] : this->connections) {
        asio::post(registered.worker->context(), [weak = registered.connection] {
            const auto connection = weak.lock();
            if (connection && connection->waiting) {
                connection->stream.cancel();
            }
        });
    }
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(std::vector<Worker *> workers,
                                                       const std::string &address,
                                                       const HttpLimits &limits,
                                                       HttpHandler &handler,
                                                       Counters &counters)
{
    auto state = std::make_shared<State>(std::move(workers), limits, handler, counters);
    const auto listening = listenOn(state->acceptor, address, asio::socket_base::max_listen_connections);
    if (!listening) {
        return listening.error();
    }
    state->port = state->acceptor.local_endpoint().port();
    state->workers.front()->spawn([state] { state->acceptLoop(); });
    return std::unique_ptr<HttpServer>(new HttpServer(state));
}

HttpServer::HttpServer(std::shared_ptr<State> serverState)
    : state(std::move(serverState))
{
}

HttpServer::~HttpServer()
{
    this->stopAccepting();
    this->closeIdle();
}

void HttpServer::closeAfterResponse()
{
    this->state->closing.store(true);
}

void HttpServer::stopAccepting()
{
    asio::post(this->state->workers.front()->context(), [state = this->state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

void HttpServer::closeIdle()
{
    this->state->closingIdle.store(true);
    this->state->closeConnections();
}

std::size_t HttpServer::activeRequests() const
{
    return this->state->active.load();
}

std::size_t HttpServer::openConnections() const
{
    return this->state->open.load();
}

std::uint16_t HttpServer::port() const
{
    return this->state->port;
}

}
