#pragma once

#include "forwarding/endpointratelimit.h"

#include <string>
#include <vector>

namespace Lycheewall
{

/// What an endpoint says about itself in one response, besides its load.
struct EndpointStatement
{
    RateLimitStatement rateLimit;
    /// The endpoint shuts down and wants no new requests.
    bool isLeaving = false;
    /// With a request that was turned away: the time for which the endpoint wants no requests of this instance.
    std::optional<Duration> retryAfter;
    /// Names of header fields whose values cannot be read. They say nothing.
    std::vector<std::string> malformedFields;
};

}
