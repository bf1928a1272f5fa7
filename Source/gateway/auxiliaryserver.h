#pragma once

#include "core/counters.h"
#include "core/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Lycheewall
{

/// Answer to a request beside those of callers: readiness, addresses, metrics, feed.
struct AuxiliaryResponse
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/**
 * A small HTTP server for GET requests without a body.
 * Thread safety: none; used on the thread of the request loop.
 */
class AuxiliaryServer
{
public:
    using Respond = std::function<void(const AuxiliaryResponse &)>;
    /// Gets path and query. May respond at once or later, exactly once.
    using Handler = std::function<void(const std::string &target, Respond respond)>;

    /// Listens on @p address. Errors: those of the socket.
    static Result<std::unique_ptr<AuxiliaryServer>>
    create(boost::asio::io_context &io, const std::string &address, Handler handler);

    std::uint16_t port() const;

private:
    class Connection;

    AuxiliaryServer(boost::asio::io_context &io, Handler handler);
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    Handler handler;
};

}
