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

    /// Takes a sample and returns the CPU usage in cores, as an exponential moving average. Call it at regular
    /// intervals.
    double sample();

private:
    const Clock &clock;
    TimePoint lastSampleAt;
    Duration lastCpuTime;
    double mean = 0;
};

}
