#pragma once

#include "core/counters.h"
#include "core/latencyhistogram.h"
#include "forwarding/forwarder.h"
#include "gateway/codecs.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace Lycheewall
{

/// What the connections of callers share. All references outlive them.
struct FrontContext
{
    const Clock &clock;
    Counters &counters;
    Forwarder &forwarder;
    const CallerCodec &codec;
    /// Time from a whole request to its final answer.
    LatencyHistogram &durations;
    /// True while the instance leaves: each answer closes its connection.
    bool leaving = false;
    /// Requests that were read and are not yet answered.
    std::size_t active = 0;
};

/**
 * One connection of a caller. Serves one request at a time; notices while a request is under way that the caller
 * leaves.
 * Thread safety: none; used on the thread of the request loop.
 */
class FrontConnection : public std::enable_shared_from_this<FrontConnection>
{
public:
    using Closed = std::function<void(FrontConnection *)>;

    FrontConnection(boost::asio::ip::tcp::socket socket, FrontContext &context, Closed closed);

    /// Precondition: owned by a shared pointer; called once.
    void start();

    /// Closes the connection unless a request is being read or served.
    void closeIfIdle();

private:
    enum class State { Reading, Serving, Writing, Closing, Closed };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void startRead();
    void readSome(const boost::system::error_code &error, std::size_t size);
    void beginMessage();
    void parse();
    bool parseAvailable(boost::system::error_code &error);
    void sendContinue();
    void serve();
    void finish(const ForwardReply &reply);
    void refuse(Refusal refusal);
    void write(HttpResponseMessage message, bool keepAlive);
    void written(const boost::system::error_code &error);
    void callerLeft();
    void armTimer(Duration delay);
    void timedOut();
    void shutdownSend();
    void close();

    boost::asio::ip::tcp::socket socket;
    FrontContext &context;
    Closed closed;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    State state = State::Reading;
    bool reading = false;
    bool messageBegun = false;
    bool continueSent = false;
    bool keepAlive = true;
    bool counted = false;
    CallerRequestPtr request;
    std::shared_ptr<Exchange> exchange;
    HttpResponseMessage response;
};

}
