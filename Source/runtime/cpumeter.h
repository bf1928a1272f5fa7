#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/**
 * Measures how much processor time this process uses.
 * Thread safety: none; used on the thread of the request loop.
 */
class CpuMeter
{
public:
    explicit CpuMeter(const Clock &clock);

    /// Cores in use, as a moving mean over the last samples. Call it at regular times.
    double sample();

private:
    const Clock &clock;
    TimePoint sampledAt;
    Duration usedBefore;
    double mean = 0;
};

}
