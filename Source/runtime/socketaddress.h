#pragma once

#include "core/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace Lycheewall
{

/// Parses "ip:port", with IPv6 addresses in brackets. Errors: std::errc::invalid_argument.
Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &text);

}
