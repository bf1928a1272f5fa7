#include "gateway/frontconnection.h"

#include "core/log.h"
#include "gateway/requestmemory.h"
#include "runtime/httppayload.h"

#include <algorithm>
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
constexpr std::size_t pipelineLimit = std::size_t { 16 } * 1024;
/// A buffer that has grown beyond this is released when it is empty.
constexpr std::size_t keptBufferBytes = 2 * readSize;
/// How long the memory of a request counts after its caller has disconnected. Longer than the grace period of its
/// cancelled calls to endpoints, which keep copies of it.
constexpr Duration cancelledRequestTime = Milliseconds(50);
/// When a caller that was refused for a shortage may try again. The connections that caused it have ended by then.
constexpr Duration shortageRetryAfter = Milliseconds(250);

Refusal refusalForParseError(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return Refusal::HeaderTooLarge;
    }
    return error == http::error::body_limit ? Refusal::BodyTooLarge : Refusal::BadRequest;
}

}

FrontConnection::FrontConnection(asio::ip::tcp::socket clientSocket,
                                 FrontContext &frontContext,
                                 ClosedCallback closedCallback)
    : socket(std::move(clientSocket))
    , context(frontContext)
    , budget(frontContext.budget)
    , onClosed(std::move(closedCallback))
    , timer(this->socket.get_executor())
{
}

FrontConnection::~FrontConnection()
{
    this->budget->remove(*this);
}

bool FrontConnection::start()
{
    boost::system::error_code ignored;
    if (!this->budget->add(*this)) {
        this->state = State::Closed;
        this->socket.close(ignored);
        return false;
    }
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->beginRequest();
    this->startRead();
    return true;
}

ConnectionBudget::Phase FrontConnection::budgetPhase() const
{
    if (this->state == State::Reading) {
        return this->requestStarted ? ConnectionBudget::Phase::Receiving : ConnectionBudget::Phase::Idle;
    }
    if (this->state == State::Serving) {
        return ConnectionBudget::Phase::Serving;
    }
    if (this->state == State::Writing) {
        return ConnectionBudget::Phase::Sending;
    }
    return this->state == State::Closing ? ConnectionBudget::Phase::Closing : ConnectionBudget::Phase::Closed;
}

std::size_t FrontConnection::connectionBytes() const
{
    return sizeof(FrontConnection) + socketMemoryBytes + this->buffer.capacity();
}

void FrontConnection::updateBudget()
{
    const std::size_t receivedBytes = this->parser ? this->headerBytes + this->parser->get().body().capacity() : 0;
    this->budget->update(*this,
                         this->budgetPhase(),
                         this->connectionBytes() + receivedBytes + this->requestBytes
                             + this->response.body().capacity());
}

void FrontConnection::endForShortage(ConnectionBudget::Resource resource)
{
    if (resource == ConnectionBudget::Resource::Memory && this->state == State::Reading) {
        this->endReading(Refusal::MemoryExceeded);
    } else {
        this->close();
    }
}

void FrontConnection::beginRequest()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->state = State::Reading;
    this->headerBytes = 0;
    this->requestBytes = 0;
    this->requestStarted = false;
    this->continueSent = false;
    this->idleSince = std::chrono::steady_clock::now();
    this->armTimer(this->context.forwarder.callerLimits().idleTimeout + timeoutMargin);
    this->updateBudget();
}

void FrontConnection::startRequest()
{
    const CallerLimits limits = this->context.forwarder.callerLimits();
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

std::size_t FrontConnection::bufferLimit() const
{
    if (this->state == State::Reading) {
        // A header field, or the trailer of a chunked body, is parsed once it has been received completely.
        return std::max(pipelineLimit, this->context.forwarder.callerLimits().headerBytes + readSize);
    }
    return this->budget->mayReadAhead() ? pipelineLimit : 0;
}

void FrontConnection::startRead()
{
    if (this->reading || this->state == State::Closed || this->buffer.size() > this->bufferLimit()) {
        return;
    }
    if (this->buffer.size() == 0 && this->buffer.capacity() > keptBufferBytes) {
        this->buffer.shrink_to_fit();
    }
    this->reading = true;
    this->socket.async_read_some(
        this->buffer.prepare(readSize),
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->reading = false;
            self->handleRead(error, size);
        });
}

void FrontConnection::continueReading()
{
    this->startRead();
    if (this->state != State::Closed) {
        this->updateBudget();
    }
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
    this->continueReading();
}

bool FrontConnection::parseAvailable(boost::system::error_code &error)
{
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        const bool hadHeader = this->parser->is_header_done();
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        if (!hadHeader) {
            const auto *bytes = static_cast<const char *>(this->buffer.data().data());
            this->headerBytes = this->parser->is_header_done() ? memoryOf(this->parser->get())
                                                               : this->headerBytes + memoryOfHeaderText(bytes, used);
        }
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
    if (!isComplete && this->buffer.size() > this->bufferLimit()) {
        this->refuse(Refusal::HeaderTooLarge);
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
    if (!this->decodeRequest()) {
        this->refuse(Refusal::BadRequest);
        return;
    }
    if (!this->admitToService()) {
        return;
    }
    const CallerRequestPtr forwarded = this->request;
    const auto started = this->context.forwarder.forward(
        forwarded, [self = this->shared_from_this()](const ForwardReply &reply) { self->sendReply(reply); });
    if (this->state == State::Serving) {
        this->exchange = started;
    }
}

bool FrontConnection::decodeRequest()
{
    const HttpRequestMessage message = this->parser->release();
    this->parser.reset();
    this->keepAlive = message.keep_alive();
    const auto decoded = this->context.codec.decode(message, this->context.clock.now());
    if (!decoded) {
        return false;
    }
    this->request = decoded.value();
    return true;
}

bool FrontConnection::admitToService()
{
    const std::size_t endpoints = endpointCount(*this->request, this->context.forwarder.table().get());
    this->requestBytes = std::min((1 + endpoints) * memoryOf(*this->request), this->budget->maxRequestBytes());
    const auto shortage = this->budget->startServing(*this, this->connectionBytes() + this->requestBytes, endpoints);
    if (!shortage) {
        return true;
    }
    this->refuse(*shortage == ConnectionBudget::Resource::Memory ? Refusal::MemoryExceeded
                                                                 : Refusal::TooManyConnections);
    return false;
}

void FrontConnection::sendReply(const ForwardReply &reply)
{
    if (this->state != State::Serving) {
        return;
    }
    this->exchange.reset();
    this->context.requestDurations.record(this->context.clock.now() - this->request->arrivedAt);
    HttpResponseMessage message = this->context.codec.encode(reply, this->request.get());
    if (!this->budget->makeRoomForResponse(message.body().size())) {
        this->context.counters.counter("lycheewall_front_responses_dropped_total").add();
        this->close();
        return;
    }
    this->write(std::move(message), this->keepAlive);
}

void FrontConnection::refuse(Refusal refusal)
{
    this->context.counters.countRefusal(refusal);
    const bool isShortage = refusal == Refusal::MemoryExceeded || refusal == Refusal::TooManyConnections;
    const ForwardReply reply = ForwardReply::refused(
        refusal, Execution::NotRun, isShortage ? std::optional(shortageRetryAfter) : std::nullopt);
    this->write(this->context.codec.encode(reply, this->request.get()), false);
}

void FrontConnection::write(HttpResponseMessage message, bool allowKeepAlive)
{
    this->keepAlive = allowKeepAlive && !this->context.shuttingDown;
    this->state = State::Writing;
    this->response = std::move(message);
    this->response.keep_alive(this->keepAlive);
    preparePayload(this->response, this->method);
    this->parser.reset();
    this->request.reset();
    this->requestBytes = 0;
    this->armTimer(writeTimeout);
    this->updateBudget();
    if (this->state != State::Writing) {
        return;
    }
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
    this->response = {};
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
    if (this->state == State::Reading && this->buffer.size() > 0) {
        this->parse();
    }
    this->continueReading();
}

void FrontConnection::callerDisconnected()
{
    if (!this->exchange) {
        this->close();
        return;
    }
    this->context.counters.counter("lycheewall_front_callers_left_total").add();
    this->exchange->cancel();
    this->exchange.reset();
    this->close();
    // The calls to endpoints keep their copies of the request for a grace period.
    this->budget->update(*this, ConnectionBudget::Phase::Serving, this->requestBytes);
    this->timer.expires_after(cancelledRequestTime);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &) {
        self->budget->update(*self, ConnectionBudget::Phase::Closed, 0);
    });
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
    } else {
        this->endReading(Refusal::ShuttingDown);
    }
}

void FrontConnection::endReading(Refusal refusal)
{
    if (this->state == State::Reading && this->requestStarted) {
        this->refuse(refusal);
    } else {
        this->closeIfIdle();
    }
}

void FrontConnection::beginLingeringClose()
{
    this->state = State::Closing;
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    // Unread bytes would cause a reset, which may destroy the response; a full buffer would stop reading them.
    this->buffer.consume(this->buffer.size());
    this->armTimer(lingerTime);
    this->updateBudget();
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
    const Duration limit = this->context.forwarder.callerLimits().idleTimeout + timeoutMargin;
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
    this->parser.reset();
    if (this->countedInFlight) {
        this->countedInFlight = false;
        --this->context.requestsInFlight;
    }
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->updateBudget();
    this->onClosed(this);
}

}
