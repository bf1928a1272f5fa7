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

private:
    double rate = 0;
    TimePoint updatedAt;
};

}
