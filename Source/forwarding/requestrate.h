#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/**
 * Moving average of the number of requests per second that callers send to this instance, over the last few seconds.
 * Thread safety: none; used on the thread of the request loop.
 */
class RequestRate
{
public:
    /// Counts a request that has arrived now.
    void record(TimePoint now);

    /// Requests per second.
    double perSecond(TimePoint now) const;

    /// Requests per second without the latest one. Precondition: a request was recorded.
    double perSecondBeforeLatest(TimePoint now) const;

private:
    double decayed(double value, TimePoint now) const;

    double rate = 0;
    TimePoint updatedAt;
};

}
