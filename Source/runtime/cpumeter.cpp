#include "runtime/cpumeter.h"

#include <sys/resource.h>

namespace Lycheewall
{

namespace
{

/// Weight of the newest sample in the moving average.
constexpr double smoothingFactor = 0.3;

Duration processCpuTime()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto duration = [](const timeval &time) -> Duration {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    };
    return duration(usage.ru_utime) + duration(usage.ru_stime);
}

}

CpuMeter::CpuMeter(const Clock &meterClock)
    : clock(meterClock)
    , lastSampleAt(meterClock.now())
    , lastCpuTime(processCpuTime())
{
}

double CpuMeter::sample()
{
    const TimePoint now = this->clock.now();
    const Duration cpuTime = processCpuTime();
    if (now > this->lastSampleAt) {
        const double coresUsed
            = fractionalSeconds(cpuTime - this->lastCpuTime) / fractionalSeconds(now - this->lastSampleAt);
        this->mean += smoothingFactor * (coresUsed - this->mean);
    }
    this->lastSampleAt = now;
    this->lastCpuTime = cpuTime;
    return this->mean;
}

}
