#include "catalogue/socketaddress.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace Lycheewall
{

namespace
{

std::optional<std::uint16_t> parsePort(const std::string &text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || stop != end || port == 0) {
        return std::nullopt;
    }
    return port;
}

/// Returns the canonical text of an IP address, so that two spellings of one address compare equal; std::nullopt if @p
/// text is not an address.
std::optional<std::string> canonicalIp(int family, const std::string &text)
{
    in6_addr address {};
    std::array<char, INET6_ADDRSTRLEN> canonical {};
    if (inet_pton(family, text.c_str(), &address) != 1
        || inet_ntop(family, &address, canonical.data(), canonical.size()) == nullptr) {
        return std::nullopt;
    }
    return std::string(canonical.data());
}

}

std::optional<SocketAddress> SocketAddress::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    auto ip = canonicalIp(bracketed ? AF_INET6 : AF_INET, host);
    if (!port || !ip) {
        return std::nullopt;
    }
    return SocketAddress { std::move(*ip), *port };
}

}
