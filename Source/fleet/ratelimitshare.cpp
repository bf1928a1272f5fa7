#include "fleet/ratelimitshare.h"

namespace Lycheewall
{

namespace
{

/// Fraction of a limit that is shared evenly, for instances whose callers have just come.
constexpr double evenFraction = 0.1;

}

RateLimitShare::RateLimitShare(const MemberTable &memberTable)
    : members(memberTable)
{
}

double RateLimitShare::byLoad(double evenShare, double ownRate, double fleetRate)
{
    return fleetRate > 0 ? evenFraction * evenShare + (1 - evenFraction) * ownRate / fleetRate : evenShare;
}

double RateLimitShare::value(double evenShare, double ownRate) const
{
    // Unreachable instances may still send, so their last reports count.
    const std::optional<double> otherRate = this->members.totalRequestRate();
    return otherRate ? byLoad(evenShare, ownRate, ownRate + *otherRate) : evenShare;
}

}
