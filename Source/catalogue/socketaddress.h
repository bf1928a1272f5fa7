#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Lycheewall
{

/// An IP address and a port. Thread safety: a value type.
struct SocketAddress
{
    /// IPv4 in dotted form, or IPv6 without brackets.
    std::string host;
    std::uint16_t port = 0;

    /// Reads "ip:port" or "[ipv6]:port". Host names and port 0 are refused: nothing here resolves names.
    static std::optional<SocketAddress> parse(const std::string &text);
};

}
