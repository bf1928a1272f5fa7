#include "gateway/codecs.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace Lycheewall
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr std::array<http::field, 10> connectionFields {
    http::field::connection,          http::field::keep_alive, http::field::proxy_authenticate,
    http::field::proxy_authorization, http::field::te,         http::field::trailer,
    http::field::transfer_encoding,   http::field::upgrade,    http::field::proxy_connection,
    http::field::content_length,
};

bool isConnectionField(http::field field)
{
    return std::find(connectionFields.begin(), connectionFields.end(), field) != connectionFields.end();
}

}

HeaderList endToEndFields(const http::fields &fields)
{
    std::vector<std::string> connectionOptions;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        for (const auto token : http::token_list(field->value())) {
            connectionOptions.emplace_back(token);
        }
    }
    HeaderList result;
    for (const auto &field : fields) {
        const bool isConnectionOption
            = std::any_of(connectionOptions.begin(), connectionOptions.end(), [&field](const std::string &name) {
                  return beast::iequals(name, field.name_string());
              });
        if (!isConnectionField(field.name()) && !isConnectionOption) {
            result.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }
    return result;
}

}
