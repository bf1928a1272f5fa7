#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>

namespace Lycheewall
{

struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// Splits "ip:port". Errors: invalid_argument. Thread safety: any thread.
Result<Address> parseAddress(const std::string &text);

}
