#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/**
 * Measures the CPU usage of this process.
 * Thread safety: none; used on the thread of the request loop.
 */
class CpuMeter
{
public:
    explicit CpuMeter(const Clock &clock);

    /// Returns the CPU usage since the previous call, in cores; 0 if no time has passed.
    double sample();

private:
    const Clock &clock;
    TimePoint lastSampleAt;
    Duration lastCpuTime;
};

}
