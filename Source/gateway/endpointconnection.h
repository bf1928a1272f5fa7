#pragma once

#include "gateway/codecs.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace Lycheewall
{

/**
 * One connection to an endpoint; carries one request at a time. Reads at all times, so that bytes or an end without a
 * request are noticed. Responses that belong to an earlier request are skipped.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    /// What the owner of the connection is told. The owner must outlive the connection's last callback.
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual void connected(const std::shared_ptr<EndpointConnection> &connection) = 0;
        virtual void connectFailed(const std::shared_ptr<EndpointConnection> &connection) = 0;
        /// The response to the current request is whole, or will not come. @p reusable: the connection can carry more.
        virtual void answered(const std::shared_ptr<EndpointConnection> &connection,
                              const CallOutcome &outcome,
                              const EndpointResponseMetadata &info,
                              bool reusable)
            = 0;
        /// Closed while no request was under way.
        virtual void closedIdle(const std::shared_ptr<EndpointConnection> &connection) = 0;
    };

    EndpointConnection(boost::asio::io_context &io, const Clock &clock, const EndpointCodec &codec, Owner &owner);

    /// Precondition: called once. Fails when @p timeout passes.
    void connect(const boost::asio::ip::tcp::endpoint &address, Duration timeout);

    /// Precondition: connected, no request under way.
    void send(const EndpointCall &call);

    /// Closes without any further callback.
    void close();

    /// True when an idle connection is safe to use: the endpoint will not close it for idleness just now.
    bool isUsable(TimePoint now) const;
    Duration idleTime(TimePoint now) const;

private:
    enum class State { Connecting, Idle, Busy, Closed };
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void startRead();
    void readSome(const boost::system::error_code &error, std::size_t size);
    void parse();
    void responseDone();
    void ended(const boost::system::error_code &error);
    void lost();
    void finish(const CallOutcome &outcome, const EndpointResponseMetadata &info, bool reusable);
    void beginResponse();
    void noteKeepAlive(const HttpResponseMessage &message);

    boost::asio::ip::tcp::socket socket;
    const Clock &clock;
    const EndpointCodec &codec;
    Owner &owner;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    State state = State::Connecting;
    bool reading = false;
    bool writing = false;
    /// A response of an earlier request was skipped; more of its kind may follow.
    bool sawStray = false;
    bool headRequest = false;
    HttpRequestMessage message;
    std::string attemptId;
    TimePoint idleSince;
    std::optional<Duration> keepAlive;
};

}
