#pragma once

#include "fleet/membertable.h"

namespace Lycheewall
{

/**
 * This instance's share of the rate limits that endpoints name for the whole fleet. It follows the requests that the
 * instances report: with even shares, instances with few callers would leave a part of the limits unused.
 * Thread safety: none; used on the thread of the request loop.
 */
class RateLimitShare
{
public:
    /// Precondition: @p members outlives this object.
    explicit RateLimitShare(const MemberTable &members);

    /// The share of this instance, which gets @p ownRate requests per second. @p evenShare is its share if the load is
    /// not considered, above 0 and at most 1; it applies while an instance does not report its rate.
    double value(double evenShare, double ownRate) const;

    /// The share of an instance that gets @p ownRate of the @p fleetRate requests per second of the whole fleet.
    static double byLoad(double evenShare, double ownRate, double fleetRate);

private:
    const MemberTable &members;
};

}
