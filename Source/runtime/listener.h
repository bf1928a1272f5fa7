#pragma once

#include "core/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace Lycheewall
{

/// Opens @p acceptor, binds it to @p address ("ip:port") and listens; up to @p backlog new connections wait to be
/// accepted. Errors: std::errc::invalid_argument for a bad address, else those of the socket.
Result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, int backlog);

}
