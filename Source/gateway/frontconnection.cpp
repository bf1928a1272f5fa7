#include "gateway/frontconnection.h"

#include "core/log.h"
#include "runtime/httppayload.h"

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
/// Added to the idle and header timeouts, because callers reuse connections that were idle for almost the full timeout.
constexpr Duration timeoutMargin = Milliseconds(500);
/// How long a half-closed connection waits for the caller to close its side before the socket is closed.
constexpr Duration lingerTime = Milliseconds(1000);
/// The connection is closed if a reply could not be sent completely within this time.
constexpr Duration writeTimeout = std::chrono::seconds(10);
/// No more bytes are read while more than this many bytes of pipelined requests are buffered.
constexpr std::size_t pipelineLimit = std::size_t { 64 } * 1024;

Refusal refusalForParseError(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return Refusal::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return Refusal::BodyTooLarge;
    }
    return Refusal::BadRequest;
}

CallerLimits callerLimits(const Forwarder &forwarder)
{
    return forwarder.table() ? forwarder.table()->limits() : CallerLimits();
}

}

FrontConnection::FrontConnection(asio::ip::tcp::socket clientSocket,
                                 FrontContext &frontContext,
                                 ClosedCallback closedCallback)
    : socket(std::move(clientSocket))
    , context(frontContext)
    , onClosed(std::move(closedCallback))
    , timer(this->socket.get_executor())
{
}

void FrontConnection::start()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->beginRequest();
    this->startRead();
}

void FrontConnection::beginRequest()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->state = State::Reading;
    this->requestStarted = false;
    this->continueSent = false;
    this->idleSince = std::chrono::steady_clock::now();
    this->armTimer(callerLimits(this->context.forwarder).idleTimeout + timeoutMargin);
}

void FrontConnection::startRequest()
{
    const CallerLimits limits = callerLimits(this->context.forwarder);
    this->requestStarted = true;
    this->parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    this->parser->body_limit(limits.bodyBytes);
    this->armTimer(limits.headerTimeout + timeoutMargin);
}

bool FrontConnection::hasUnknownLength() const
{
    return this->parser->is_header_done() && this->parser->get().count(http::field::transfer_encoding) > 0
        && !this->parser->chunked();
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
            self->handleRead(error, size);
        });
}

void FrontConnection::handleRead(const boost::system::error_code &error, std::size_t size)
{
    if (this->state == State::Closed) {
        return;
    }
    if (error) {
        this->callerDisconnected();
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
    if (this->buffer.size() > 0 && !this->requestStarted) {
        this->startRequest();
    }
    boost::system::error_code error;
    const bool isComplete = this->parseAvailable(error);
    this->method = this->parser->get().method();
    if (error) {
        this->refuse(refusalForParseError(error));
        return;
    }
    if (this->hasUnknownLength()) {
        this->refuse(Refusal::BadRequest);
        return;
    }
    if (isComplete) {
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
                              self->callerDisconnected();
                          }
                      });
}

void FrontConnection::serve()
{
    this->state = State::Serving;
    this->timer.cancel();
    this->countedInFlight = true;
    ++this->context.requestsInFlight;
    ++this->context.requestsReceived;
    const HttpRequestMessage message = this->parser->release();
    this->keepAlive = message.keep_alive();
    const auto decoded = this->context.codec.decode(message, this->context.clock.now());
    if (!decoded) {
        this->refuse(Refusal::BadRequest);
        return;
    }
    this->request = decoded.value();
    const auto started = this->context.forwarder.forward(
        this->request, [self = this->shared_from_this()](const ForwardReply &reply) { self->sendReply(reply); });
    if (this->state == State::Serving) {
        this->exchange = started;
    }
}

void FrontConnection::sendReply(const ForwardReply &reply)
{
    if (this->state != State::Serving) {
        return;
    }
    this->exchange.reset();
    this->context.requestDurations.record(this->context.clock.now() - this->request->arrivedAt);
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

void FrontConnection::write(HttpResponseMessage message, bool allowKeepAlive)
{
    this->keepAlive = allowKeepAlive && !this->context.shuttingDown;
    this->state = State::Writing;
    this->response = std::move(message);
    this->response.keep_alive(this->keepAlive);
    preparePayload(this->response, this->method);
    this->armTimer(writeTimeout);
    http::async_write(this->socket,
                      this->response,
                      [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          self->responseWritten(error);
                      });
}

void FrontConnection::responseWritten(const boost::system::error_code &error)
{
    if (this->countedInFlight) {
        this->countedInFlight = false;
        --this->context.requestsInFlight;
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
        this->beginLingeringClose();
        return;
    }
    this->beginRequest();
    if (this->buffer.size() > 0) {
        this->parse();
    }
    this->startRead();
}

void FrontConnection::callerDisconnected()
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
    if (this->state == State::Reading && !this->requestStarted) {
        this->beginLingeringClose();
    }
}

void FrontConnection::finishEarly()
{
    if (this->state == State::Serving && this->exchange) {
        const auto ending = this->exchange;
        ending->finishEarly();
    } else if (this->state == State::Reading && this->requestStarted) {
        this->refuse(Refusal::ShuttingDown);
    } else {
        this->closeIfIdle();
    }
}

void FrontConnection::beginLingeringClose()
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
    if (this->state == State::Reading && this->requestStarted) {
        this->refuse(Refusal::RequestTimeout);
        return;
    }
    if (this->state == State::Reading) {
        this->handleIdleTimeout();
        return;
    }
    this->close();
}

void FrontConnection::handleIdleTimeout()
{
    // The limit may have been raised since the connection became idle.
    const Duration limit = callerLimits(this->context.forwarder).idleTimeout + timeoutMargin;
    const Duration idleTime = std::chrono::steady_clock::now() - this->idleSince;
    if (idleTime < limit) {
        this->armTimer(limit - idleTime);
        return;
    }
    this->beginLingeringClose();
}

void FrontConnection::close()
{
    if (this->state == State::Closed) {
        return;
    }
    this->state = State::Closed;
    if (this->countedInFlight) {
        this->countedInFlight = false;
        --this->context.requestsInFlight;
    }
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->onClosed(this);
}

}
