#include "admission/ratelimit.h"

namespace Lycheewall
{

RateLimits rateLimitsOf(const Catalogue &catalogue)
{
    RateLimits limits;
    for (const auto &[id, organisation] : catalogue.organisations()) {
        limits[id] = RateLimit { organisation.rate, organisation.burst };
    }
    return limits;
}

}
