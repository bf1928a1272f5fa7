#pragma once

#include "forwarding/responsememory.h"
#include "gateway/codecs.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace Lycheewall
{

/**
 * A connection to an endpoint with at most one request in flight. It reads at all times, so that it detects unsolicited
 * bytes and a close by the endpoint also while it is idle. Responses that belong to an earlier request are skipped. An
 * endpoint that sends without end loses the connection.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>, private ResponseMemory::Holder
{
public:
    /// Receives the events of the connection. The owner must outlive the connection's last callback.
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual void connected(const std::shared_ptr<EndpointConnection> &connection) = 0;
        virtual void connectFailed(const std::shared_ptr<EndpointConnection> &connection) = 0;
        /// The request has completed, with a complete response or without one (see CallOutcome::result). If @p reusable
        /// is true, the connection is idle and accepts another request; otherwise it is closed.
        virtual void requestFinished(const std::shared_ptr<EndpointConnection> &connection,
                                     const CallOutcome &outcome,
                                     const EndpointResponseMetadata &info,
                                     bool reusable)
            = 0;
        /// The connection was closed while no request was in flight.
        virtual void closedWhileIdle(const std::shared_ptr<EndpointConnection> &connection) = 0;
    };

    /// @p memory is shared by all connections.
    EndpointConnection(boost::asio::io_context &io,
                       const Clock &clock,
                       const EndpointCodec &codec,
                       std::shared_ptr<ResponseMemory> memory,
                       Owner &owner);
    ~EndpointConnection() override;
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    /// Connects to @p address and calls connected(), or connectFailed() on an error or after @p timeout. Precondition:
    /// called once.
    void connect(const boost::asio::ip::tcp::endpoint &address, Duration timeout);

    /// Sends the request of @p call; requestFinished() is called once. Precondition: connected, no request in flight.
    void send(const EndpointCall &call);

    /// Closes the connection without any further callback.
    void close();

    /// True if the connection is idle and the endpoint's keep-alive timeout, if known, will not expire soon.
    bool isUsable(TimePoint now) const;
    Duration idleTime(TimePoint now) const;

private:
    enum class State { Connecting, Idle, Busy, Closed };
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void startRead();
    void handleRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void handleResponse();
    void handleReadError(const boost::system::error_code &error);
    void failRequest();
    void finish(const CallOutcome &outcome, const EndpointResponseMetadata &info, bool reusable);
    void beginResponse();
    /// Prepares for the next response after one that is not the reply to the request.
    void skipResponse();
    void giveUpResponse() override;
    void updateKeepAlive(const HttpResponseMessage &message);

    boost::asio::ip::tcp::socket socket;
    const Clock &clock;
    const EndpointCodec &codec;
    std::shared_ptr<ResponseMemory> memory;
    Owner &owner;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    State state = State::Connecting;
    bool reading = false;
    bool writing = false;
    /// A response to an earlier request was skipped; more such responses may follow.
    bool skippedStaleResponse = false;
    /// Interim and stale responses since the request was sent.
    int skippedResponses = 0;
    bool isHeadRequest = false;
    HttpRequestMessage message;
    std::string attemptId;
    TimePoint idleSince;
    std::optional<Duration> keepAliveTimeout;
};

}
