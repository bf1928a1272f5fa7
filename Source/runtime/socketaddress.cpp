#include "runtime/socketaddress.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace Lycheewall
{

Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &text)
{
    const auto invalid = std::make_error_code(std::errc::invalid_argument);
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return failure(invalid);
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, parseError] = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (parseError != std::errc() || parsedEnd != end || error) {
        return failure(invalid);
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

}
