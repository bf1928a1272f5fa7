#include "gateway/frontconnection.h"

#include "core/log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr std::size_t readSize = 4096;
/// Callers reuse connections that were idle for almost the whole limit.
constexpr Duration idleMargin = Milliseconds(500);
/// How long a closed connection waits for the caller's end before it is torn down.
constexpr Duration lingerTime = Milliseconds(1000);
/// A response that the caller does not take for this long is given up.
constexpr Duration writeTimeout = std::chrono::seconds(10);
/// Bytes of further requests that are kept while one is served.
constexpr std::size_t pipelineLimit = std::size_t { 64 } * 1024;

Refusal refusalOfParser(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return Refusal::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Refusal::BodyTooLarge;
    }
    return Refusal::BadRequest;
}

CallerLimits limitsOf(const Forwarder &forwarder)
{
    return forwarder.table() ? forwarder.table()->limits() : CallerLimits();
}

}

FrontConnection::FrontConnection(asio::ip::tcp::socket clientSocket, FrontContext &frontContext, Closed closedCallback)
    : socket(std::move(clientSocket))
    , context(frontContext)
    , closed(std::move(closedCallback))
    , timer(this->socket.get_executor())
{
}

void FrontConnection::start()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->beginMessage();
    this->startRead();
}

void FrontConnection::beginMessage()
{
    const CallerLimits limits = limitsOf(this->context.forwarder);
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    this->parser->body_limit(limits.bodyBytes);
    this->parser->eager(true);
    this->state = State::Reading;
    this->messageBegun = false;
    this->continueSent = false;
    this->armTimer(limits.idleTimeout + idleMargin);
}

void FrontConnection::startRead()
{
    if (this->reading || this->state == State::Closed || this->buffer.size() > pipelineLimit) {
        return;
    }
    this->reading = true;
    this->socket.async_read_some(
        this->buffer.prepare(readSize),
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->reading = false;
            self->readSome(error, size);
        });
}

void FrontConnection::readSome(const boost::system::error_code &error, std::size_t size)
{
    if (this->state == State::Closed) {
        return;
    }
    if (error) {
        this->callerLeft();
        return;
    }
    this->buffer.commit(size);
    if (this->state == State::Closing) {
        this->buffer.consume(this->buffer.size());
    }
    if (this->state == State::Reading) {
        this->parse();
    }
    this->startRead();
}

bool FrontConnection::parseAvailable(boost::system::error_code &error)
{
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == http::error::need_more) {
            error = {};
            return false;
        }
        if (error) {
            return false;
        }
    }
    return this->parser->is_done();
}

void FrontConnection::parse()
{
    if (this->buffer.size() > 0 && !this->messageBegun) {
        this->messageBegun = true;
        this->armTimer(limitsOf(this->context.forwarder).headerTimeout + idleMargin);
    }
    boost::system::error_code error;
    const bool whole = this->parseAvailable(error);
    if (error) {
        this->refuse(refusalOfParser(error));
        return;
    }
    if (whole) {
        this->serve();
        return;
    }
    if (this->parser->is_header_done() && !this->continueSent
        && beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
        this->sendContinue();
    }
}

void FrontConnection::sendContinue()
{
    static const std::string message = "HTTP/1.1 100 Continue\r\n\r\n";
    this->continueSent = true;
    asio::async_write(this->socket,
                      asio::buffer(message),
                      [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          if (error) {
                              self->callerLeft();
                          }
                      });
}

void FrontConnection::serve()
{
    this->state = State::Serving;
    this->timer.cancel();
    this->counted = true;
    ++this->context.active;
    const HttpRequestMessage message = this->parser->release();
    this->keepAlive = message.keep_alive();
    const auto decoded = this->context.codec.decode(message, this->context.clock.now());
    if (!decoded) {
        this->refuse(Refusal::BadRequest);
        return;
    }
    this->request = decoded.value();
    const auto started = this->context.forwarder.forward(
        this->request, [self = this->shared_from_this()](const ForwardReply &reply) { self->finish(reply); });
    if (this->state == State::Serving) {
        this->exchange = started;
    }
}

void FrontConnection::finish(const ForwardReply &reply)
{
    if (this->state != State::Serving) {
        return;
    }
    this->exchange.reset();
    this->context.durations.record(this->context.clock.now() - this->request->arrivedAt);
    this->write(this->context.codec.encode(reply, this->request.get()), this->keepAlive);
}

void FrontConnection::refuse(Refusal refusal)
{
    this->context.counters.countRefusal(refusal);
    ForwardReply reply;
    reply.refusal = refusal;
    reply.notRun = true;
    this->write(this->context.codec.encode(reply, this->request.get()), false);
}

void FrontConnection::write(HttpResponseMessage message, bool stays)
{
    this->keepAlive = stays && !this->context.leaving;
    this->state = State::Writing;
    this->response = std::move(message);
    this->response.keep_alive(this->keepAlive);
    this->response.prepare_payload();
    this->armTimer(writeTimeout);
    http::async_write(this->socket,
                      this->response,
                      [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          self->written(error);
                      });
}

void FrontConnection::written(const boost::system::error_code &error)
{
    if (this->counted) {
        this->counted = false;
        --this->context.active;
    }
    this->request.reset();
    if (this->state != State::Writing) {
        return;
    }
    if (error) {
        this->close();
        return;
    }
    if (!this->keepAlive) {
        this->shutdownSend();
        return;
    }
    this->beginMessage();
    if (this->buffer.size() > 0) {
        this->parse();
    }
    this->startRead();
}

void FrontConnection::callerLeft()
{
    if (this->exchange) {
        this->context.counters.counter("lycheewall_front_callers_left_total").add();
        this->exchange->cancel();
        this->exchange.reset();
    }
    this->close();
}

void FrontConnection::closeIfIdle()
{
    if (this->state == State::Reading && !this->messageBegun) {
        this->shutdownSend();
    }
}

void FrontConnection::shutdownSend()
{
    this->state = State::Closing;
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->armTimer(lingerTime);
    this->startRead();
}

void FrontConnection::armTimer(Duration delay)
{
    this->timer.expires_after(delay);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->timedOut();
        }
    });
}

void FrontConnection::timedOut()
{
    if (this->timer.expiry() > std::chrono::steady_clock::now()) {
        return;
    }
    if (this->state == State::Reading && this->messageBegun) {
        this->refuse(Refusal::RequestTimeout);
        return;
    }
    if (this->state == State::Reading) {
        this->shutdownSend();
        return;
    }
    this->close();
}

void FrontConnection::close()
{
    if (this->state == State::Closed) {
        return;
    }
    this->state = State::Closed;
    if (this->counted) {
        this->counted = false;
        --this->context.active;
    }
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->closed(this);
}

}
