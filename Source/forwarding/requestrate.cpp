#include "forwarding/requestrate.h"

#include <cmath>

namespace Lycheewall
{

namespace
{

/// Time constant of the average.
constexpr Duration averagingTime = std::chrono::seconds(2);
/// What a request adds to the average when it arrives, per second.
const double rateOfOneRequest = 1 / fractionalSeconds(averagingTime);

}

void RequestRate::record(TimePoint now)
{
    this->rate = this->perSecond(now) + rateOfOneRequest;
    this->updatedAt = now;
}

double RequestRate::perSecond(TimePoint now) const
{
    return this->decayed(this->rate, now);
}

double RequestRate::perSecondBeforeLatest(TimePoint now) const
{
    return this->decayed(this->rate - rateOfOneRequest, now);
}

double RequestRate::decayed(double value, TimePoint now) const
{
    return value * std::exp(-fractionalSeconds(now - this->updatedAt) / fractionalSeconds(averagingTime));
}

}
