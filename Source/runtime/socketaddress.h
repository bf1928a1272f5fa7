#pragma once

#include "core/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace Lycheewall
{

/// Reads "ip:port", with an IPv6 address in brackets. Error: std::errc::invalid_argument.
Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &text);

}
