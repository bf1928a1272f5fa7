#pragma once

#include "core/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace Lycheewall
{

/// Opens @p acceptor, binds it to @p address ("ip:port") and listens. Up to @p backlog connections are queued until
/// they are accepted. Errors: std::errc::invalid_argument if the address is malformed, otherwise the error of the
/// socket.
Result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, int backlog);

}
