#pragma once

#include "gateway/frontconnection.h"

#include <unordered_map>

namespace Lycheewall
{

/**
 * Accepts the connections of callers.
 * Thread safety: none; used on the thread of the request loop.
 */
class FrontServer
{
public:
    /// Listens on @p address. Errors: those of the socket.
    static Result<std::unique_ptr<FrontServer>>
    create(boost::asio::io_context &io, const std::string &address, FrontContext &context);

    /// Closes connections on which no request is under way.
    void closeIdle();

    void stopAccepting();

    std::uint16_t port() const;

private:
    FrontServer(boost::asio::io_context &io, FrontContext &context);
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    FrontContext &context;
    std::unordered_map<FrontConnection *, std::shared_ptr<FrontConnection>> connections;
};

}
