#include "gateway/endpointconnection.h"

#include "runtime/httpstatus.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr std::size_t readSize = 8192;
/// Most interim and stale responses before the reply, and most bytes that the parser may leave unread, for example of a
/// chunk header. An endpoint beyond these sends without end.
constexpr int maxSkippedResponses = 16;
constexpr std::size_t maxUnparsedBytes = 65'536;
/// An idle connection is not used if the endpoint's keep-alive timeout expires within this time.
constexpr Duration keepAliveMargin = Milliseconds(400);
/// TCP_USER_TIMEOUT: the kernel drops the connection if sent data stays unacknowledged for this long, which means that
/// the network path to the endpoint is broken.
constexpr int userTimeoutMs = 4000;
constexpr unsigned firstRedirectStatus = 300;

/// True for interim responses that an endpoint may send before any response. 101 is none of them, as no request asks
/// for an upgrade.
bool isInterim(unsigned status)
{
    return status == 100 || status == 102 || status == 103;
}

std::optional<Duration> parseKeepAliveTimeout(beast::string_view value)
{
    constexpr beast::string_view name = "timeout=";
    const auto start = value.find(name);
    if (start == beast::string_view::npos) {
        return std::nullopt;
    }
    const beast::string_view digits = value.substr(start + name.size());
    int seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc() || end == digits.data()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

}

EndpointConnection::EndpointConnection(asio::io_context &io,
                                       const Clock &connectionClock,
                                       const EndpointCodec &endpointCodec,
                                       std::shared_ptr<ResponseMemory> responseMemory,
                                       Owner &connectionOwner)
    : ResponseMemory::Holder(ResponseMemory::Content::IncompleteResponse)
    , socket(io)
    , clock(connectionClock)
    , codec(endpointCodec)
    , memory(std::move(responseMemory))
    , owner(connectionOwner)
    , timer(io)
{
}

EndpointConnection::~EndpointConnection()
{
    this->memory->update(*this, 0);
}

void EndpointConnection::connect(const asio::ip::tcp::endpoint &address, Duration timeout)
{
    this->timer.expires_after(timeout);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && self->state == State::Connecting) {
            self->close();
            self->owner.connectFailed(self);
        }
    });
    this->socket.async_connect(address, [self = this->shared_from_this()](const boost::system::error_code &error) {
        if (self->state != State::Connecting) {
            return;
        }
        self->timer.cancel();
        if (error) {
            self->close();
            self->owner.connectFailed(self);
            return;
        }
        boost::system::error_code ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        ::setsockopt(
            self->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
        self->state = State::Idle;
        self->idleSince = self->clock.now();
        self->startRead();
        self->owner.connected(self);
    });
}

void EndpointConnection::beginResponse()
{
    this->parser.emplace();
    this->parser->body_limit(ResponseMemory::maxResponseBytes);
    this->parser->eager(true);
    if (this->isHeadRequest) {
        this->parser->skip(true);
    }
}

void EndpointConnection::send(const EndpointCall &call)
{
    this->state = State::Busy;
    this->writing = true;
    this->skippedResponses = 0;
    this->message = this->codec.encode(call, this->clock.now());
    this->attemptId = call.request->attemptId;
    this->isHeadRequest = this->message.method() == http::verb::head;
    this->beginResponse();
    http::async_write(this->socket,
                      this->message,
                      [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          self->writing = false;
                          if (error && self->state == State::Busy) {
                              self->failRequest();
                          }
                      });
}

void EndpointConnection::startRead()
{
    if (this->reading || this->state == State::Closed) {
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

void EndpointConnection::handleRead(const boost::system::error_code &error, std::size_t size)
{
    if (this->state == State::Closed) {
        return;
    }
    if (error) {
        this->handleReadError(error);
        return;
    }
    this->buffer.commit(size);
    if (this->state == State::Idle) {
        // No request is in flight, so the bytes belong to no response.
        this->close();
        this->owner.closedWhileIdle(this->shared_from_this());
        return;
    }
    this->parse();
    if (this->state == State::Busy) {
        this->memory->update(*this, this->parser->get().body().capacity() + this->buffer.capacity());
    }
    this->startRead();
}

void EndpointConnection::giveUpResponse()
{
    this->failRequest();
}

void EndpointConnection::skipResponse()
{
    if (++this->skippedResponses > maxSkippedResponses) {
        this->failRequest();
        return;
    }
    this->beginResponse();
}

void EndpointConnection::parse()
{
    while (this->state == State::Busy && this->buffer.size() > 0) {
        boost::system::error_code error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (this->parser->is_done()) {
            this->handleResponse();
            continue;
        }
        if (error == http::error::need_more && this->buffer.size() <= maxUnparsedBytes) {
            return;
        }
        if (error) {
            this->failRequest();
            return;
        }
    }
}

void EndpointConnection::handleResponse()
{
    const unsigned status = this->parser->get().result_int();
    if (isInterim(status)) {
        this->skipResponse();
        return;
    }
    if (!isFinalStatus(status)) {
        this->failRequest();
        return;
    }
    const EndpointResponseMetadata info = this->codec.inspect(this->parser->get());
    const bool isSuccess = status < firstRedirectStatus;
    const bool isStale = info.attemptId ? *info.attemptId != this->attemptId : isSuccess;
    if (isStale) {
        this->skippedStaleResponse = true;
        if (this->parser->get().need_eof()) {
            this->failRequest();
            return;
        }
        this->skipResponse();
        return;
    }
    CallOutcome outcome;
    outcome.result = info.notRun ? CallResult::NotRun : CallResult::Answered;
    const bool reusable = this->parser->get().keep_alive() && !this->writing && this->buffer.size() == 0
        && !this->skippedStaleResponse && this->socket.is_open();
    this->updateKeepAlive(this->parser->get());
    outcome.response = this->codec.decode(this->parser->release());
    this->finish(outcome, info, reusable);
}

void EndpointConnection::updateKeepAlive(const HttpResponseMessage &response)
{
    const auto field = response.find(http::field::keep_alive);
    if (field != response.end()) {
        this->keepAliveTimeout = parseKeepAliveTimeout(field->value());
    }
}

void EndpointConnection::finish(const CallOutcome &outcome, const EndpointResponseMetadata &info, bool reusable)
{
    const auto self = this->shared_from_this();
    this->memory->update(*this, 0);
    if (reusable) {
        // The body would be kept until the next request.
        this->message = {};
        this->state = State::Idle;
        this->idleSince = this->clock.now();
    } else {
        this->close();
    }
    this->owner.requestFinished(self, outcome, info, reusable);
}

void EndpointConnection::handleReadError(const boost::system::error_code &error)
{
    if (this->state == State::Idle) {
        this->close();
        this->owner.closedWhileIdle(this->shared_from_this());
        return;
    }
    if (error == asio::error::eof && this->parser && this->parser->is_header_done() && this->parser->need_eof()) {
        boost::system::error_code ignored;
        this->parser->put_eof(ignored);
        if (!ignored && this->parser->is_done()) {
            this->handleResponse();
            return;
        }
    }
    this->failRequest();
}

void EndpointConnection::failRequest()
{
    CallOutcome outcome;
    outcome.result = CallResult::Lost;
    this->finish(outcome, {}, false);
}

void EndpointConnection::close()
{
    this->state = State::Closed;
    this->parser.reset();
    this->memory->update(*this, 0);
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

Duration EndpointConnection::idleTime(TimePoint now) const
{
    return now - this->idleSince;
}

bool EndpointConnection::isUsable(TimePoint now) const
{
    if (this->state != State::Idle) {
        return false;
    }
    return !this->keepAliveTimeout || this->idleTime(now) + keepAliveMargin < *this->keepAliveTimeout;
}

}
