#pragma once

#include "core/result.h"
#include "gateway/connectionbudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Lycheewall
{

/**
 * A listening socket that accepts connections until it is stopped. After an error it pauses, and has the budget end
 * connections if no descriptor is left.
 * Thread safety: none; used on the thread of the request loop.
 */
class ConnectionAcceptor
{
public:
    struct Handlers
    {
        std::function<void(boost::asio::ip::tcp::socket)> accepted;
        /// Called for each connection that could not be accepted.
        std::function<void(const boost::system::error_code &)> failed;
    };

    /// @p budget bounds the accepted connections. Precondition: not null.
    ConnectionAcceptor(boost::asio::io_context &io, std::shared_ptr<ConnectionBudget> budget, Handlers handlers);

    /// Listens on @p address ("ip:port") and accepts connections from then on. Errors: std::errc::invalid_argument for
    /// a bad address, else those of the socket. Precondition: called once.
    Result<void> listen(const std::string &address);

    /// Accepts the connections that are already in the listen queue and stops listening.
    void stop();

    std::uint16_t port() const;

private:
    void accept();
    void handleError(const boost::system::error_code &error);

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::shared_ptr<ConnectionBudget> budget;
    Handlers handlers;
};

}
