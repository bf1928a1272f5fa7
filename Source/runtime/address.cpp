#include "runtime/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace Lycheewall
{

Result<Address> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    Address address { text.substr(0, colon), 0 };
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, failed] = std::from_chars(first, last, address.port);
    boost::system::error_code error;
    boost::asio::ip::make_address(address.host, error);
    if (failed != std::errc() || end != last || error) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    return address;
}

}
