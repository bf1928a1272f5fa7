#pragma once

#include "core/counters.h"
#include "core/latencyhistogram.h"
#include "forwarding/forwarder.h"
#include "gateway/codecs.h"
#include "gateway/connectionbudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace Lycheewall
{

/// State shared by all connections of callers. The references must outlive the connections.
struct FrontContext
{
    const Clock &clock;
    Counters &counters;
    Forwarder &forwarder;
    const CallerCodec &codec;
    /// Time from a completely received request to its reply.
    LatencyHistogram &requestDurations;
    /// Bounds what the connections of all listeners hold. Connections may outlive the context in handlers of the event
    /// loop.
    std::shared_ptr<ConnectionBudget> budget;
    /// True while the instance shuts down: each connection is closed after its reply.
    bool shuttingDown = false;
    /// Requests that were received completely since the start.
    std::uint64_t requestsReceived = 0;
    /// Requests that were received completely and whose replies are not yet sent.
    std::size_t requestsInFlight = 0;
};

/**
 * A connection of a caller. It serves one request at a time and cancels the request if the caller disconnects.
 * Thread safety: none; used on the thread of the request loop.
 */
class FrontConnection : public std::enable_shared_from_this<FrontConnection>, private ConnectionBudget::Holder
{
public:
    using ClosedCallback = std::function<void(FrontConnection *)>;

    FrontConnection(boost::asio::ip::tcp::socket socket, FrontContext &context, ClosedCallback closed);
    ~FrontConnection() override;
    FrontConnection(const FrontConnection &) = delete;
    FrontConnection &operator=(const FrontConnection &) = delete;

    /// Starts reading requests. Returns false if there are too many connections; this one is closed then, without a
    /// callback. Precondition: owned by a shared pointer; called once.
    bool start();

    /// Closes the connection unless a request is being received or served.
    void closeIfIdle();

    /// Ends the connection because the instance is about to end: a request that is served gets a reply with what is
    /// known, one that is being received is refused.
    void finishEarly();

private:
    enum class State { Reading, Serving, Writing, Closing, Closed };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void endForShortage(ConnectionBudget::Resource resource) override;
    /// Reports to the budget what the connection does and holds. May end the connection.
    void updateBudget();
    ConnectionBudget::Phase budgetPhase() const;
    /// Memory of the connection without its request and its response.
    std::size_t connectionBytes() const;
    /// Takes the complete request from the parser. Returns false if it is invalid.
    bool decodeRequest();
    /// Refuses the request unless the budget lets it be served.
    bool admitToService();
    void startRead();
    /// Starts a read after received bytes were parsed, and reports to the budget.
    void continueReading();
    void handleRead(const boost::system::error_code &error, std::size_t size);
    void beginRequest();
    /// Applies the limits of the current configuration to the request that begins to arrive.
    void startRequest();
    /// True if the end of the request cannot be told from its header.
    bool hasUnknownLength() const;
    void parse();
    bool parseAvailable(boost::system::error_code &error);
    /// Most unparsed bytes that are buffered.
    std::size_t bufferLimit() const;
    void sendContinue();
    void serve();
    void sendReply(const ForwardReply &reply);
    void refuse(Refusal refusal);
    /// Refuses a request that has been received in part, or closes the connection if it is idle.
    void endReading(Refusal refusal);
    void write(HttpResponseMessage message, bool allowKeepAlive);
    void responseWritten(const boost::system::error_code &error);
    void callerDisconnected();
    void armTimer(Duration delay);
    void timedOut();
    void handleIdleTimeout();
    void beginLingeringClose();
    void close();

    boost::asio::ip::tcp::socket socket;
    FrontContext &context;
    std::shared_ptr<ConnectionBudget> budget;
    ClosedCallback onClosed;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    /// Estimated memory of the header fields in the parser.
    std::size_t headerBytes = 0;
    /// Memory of the request that is being served, with its copies.
    std::size_t requestBytes = 0;
    State state = State::Reading;
    bool reading = false;
    bool requestStarted = false;
    std::chrono::steady_clock::time_point idleSince;
    bool continueSent = false;
    bool keepAlive = true;
    bool countedInFlight = false;
    /// Method of the latest request; unknown until its first line has been received.
    boost::beast::http::verb method = boost::beast::http::verb::unknown;
    CallerRequestPtr request;
    std::shared_ptr<Exchange> exchange;
    HttpResponseMessage response;
};

}
