#include "forwarding/requestrate.h"

#include <cmath>

namespace Lycheewall
{

namespace
{

/// Time constant of the average.
constexpr Duration averagingTime = std::chrono::seconds(2);

}

void RequestRate::record(TimePoint now)
{
    this->rate = this->perSecond(now) + 1 / fractionalSeconds(averagingTime);
    this->updatedAt = now;
}

double RequestRate::perSecond(TimePoint now) const
{
    return this->rate * std::exp(-fractionalSeconds(now - this->updatedAt) / fractionalSeconds(averagingTime));
}

}
