#pragma once

#include "core/clock.h"
#include "runtime/worker.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Lycheewall
{

/// How one request on a connection ended.
enum class ExchangeEnd {
    Done,
    /// Certainly not sent: the kernel took no byte of it.
    NotSent,
    /// The connection ended or was closed after the first byte may have left.
    Lost,
    TimedOut,
    TooLarge
};

struct ExchangeResult
{
    ExchangeEnd end = ExchangeEnd::Lost;
    boost::beast::http::response<boost::beast::http::string_body> response;
};

/**
 * One kept-alive HTTP connection, bound to a worker.
 * Thread safety: none but worker(); everything else is called on the worker's thread. connect() and exchange() suspend
 * the calling fiber and are not called at the same time.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    explicit ClientConnection(Worker &owner);

    Worker &worker() const;

    /// Closes the present connection and establishes a new one. False when that fails or takes longer than @p bound.
    bool connect(const boost::asio::ip::tcp::endpoint &address, Duration bound);

    /// Sends a request and reads its answer. Unless the end is Done, the connection is closed afterwards.
    ExchangeResult exchange(const std::string &request, Duration bound, std::uint32_t answerBytes);

    /// Whether the connection can take a request: open, and the server has neither closed it nor sent anything.
    bool usable();

    /// Watches an idle connection with a pending read; @p ended runs when the server closed it, after close().
    void watch(std::function<void()> ended);

    /// Closes at once; an exchange that runs ends as Lost.
    void close();

private:
    void armTimer(Duration bound);
    void disarmTimer();
    void watchSocket();

    Worker &ownWorker;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::function<void()> endedCallback;
    /// Counts armed bounds, so that a timer that fired late does not end the next exchange.
    std::uint64_t boundNumber = 0;
    bool timedOut = false;
    bool busy = false;
    bool watching = false;
};

}
