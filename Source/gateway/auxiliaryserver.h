#pragma once

#include "core/counters.h"
#include "core/result.h"
#include "gateway/connectionacceptor.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Lycheewall
{

/// The response of an auxiliary server: readiness check, discovery, metrics, explanation or feed.
struct AuxiliaryResponse
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/**
 * An HTTP server for GET requests without a body: readiness checks, discovery, metrics, explanations of routes and the
 * peer feed. Requests that are forwarded to endpoints arrive at FrontServer.
 * Thread safety: none; used on the thread of the request loop.
 */
class AuxiliaryServer
{
public:
    using Respond = std::function<void(const AuxiliaryResponse &)>;
    /// Gets the path and query of a request. It must call @p respond exactly once, at once or later.
    using Handler = std::function<void(const std::string &target, Respond respond)>;

    /// Listens on @p address ("ip:port"). @p budget bounds the connections. Errors:
    /// std::errc::invalid_argument for a bad address, else those of the socket.
    static Result<std::unique_ptr<AuxiliaryServer>> create(boost::asio::io_context &io,
                                                           const std::string &address,
                                                           std::shared_ptr<ConnectionBudget> budget,
                                                           Handler handler);

    std::uint16_t port() const;

private:
    class Connection;

    AuxiliaryServer(boost::asio::io_context &io, std::shared_ptr<ConnectionBudget> budget, Handler handler);
    void addConnection(boost::asio::ip::tcp::socket socket);

    std::shared_ptr<ConnectionBudget> budget;
    Handler handler;
    ConnectionAcceptor acceptor;
};

}
