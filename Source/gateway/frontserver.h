#pragma once

#include "gateway/connectionacceptor.h"
#include "gateway/frontconnection.h"

#include <unordered_map>

namespace Lycheewall
{

/**
 * Accepts the connections of callers and owns them.
 * Thread safety: none; used on the thread of the request loop.
 */
class FrontServer
{
public:
    /// Listens on @p address ("ip:port"). Errors: std::errc::invalid_argument for a bad address, else those of the
    /// socket.
    static Result<std::unique_ptr<FrontServer>>
    create(boost::asio::io_context &io, const std::string &address, FrontContext &context);

    /// Closes the connections on which no request is being received or served.
    void closeIdleConnections();

    /// Accepts the connections that are already in the listen queue and stops listening. Connections stay open.
    void stopAccepting();

    /// Ends all connections; see FrontConnection::finishEarly().
    void finishRequests();

    /// Number of connections that are not closed completely.
    std::size_t connectionCount() const;

    std::uint16_t port() const;

private:
    FrontServer(boost::asio::io_context &io, FrontContext &context);
    void reportAcceptError(const boost::system::error_code &error);
    void addConnection(boost::asio::ip::tcp::socket socket);

    FrontContext &context;
    std::unordered_map<FrontConnection *, std::shared_ptr<FrontConnection>> connections;
    ConnectionAcceptor acceptor;
};

}
