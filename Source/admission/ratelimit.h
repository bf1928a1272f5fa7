#pragma once

#include "catalogue/catalogue.h"

namespace Lycheewall
{

/// Rate and burst of an organisation over the whole fleet.
struct RateLimit
{
    /// Requests per second.
    double rate = 0;
    double burst = 0;

    friend bool operator==(const RateLimit &left, const RateLimit &right)
    {
        return left.rate == right.rate && left.burst == right.burst;
    }
};

using RateLimits = std::map<OrganisationId, RateLimit>;

/// The limits of all organisations of a catalogue.
RateLimits rateLimitsOf(const Catalogue &catalogue);

}
