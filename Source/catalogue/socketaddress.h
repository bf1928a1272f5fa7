#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Lycheewall
{

/// An IP address and a port. Thread safety: value type.
struct SocketAddress
{
    /// IPv4 in dotted form, or IPv6 without brackets.
    std::string host;
    std::uint16_t port = 0;

    /// Parses "ip:port" or "[ipv6]:port". Returns std::nullopt for host names, which are never resolved, and for port
    /// 0.
    static std::optional<SocketAddress> parse(const std::string &text);
};

}
