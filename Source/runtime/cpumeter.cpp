#include "runtime/cpumeter.h"

#include <sys/resource.h>

namespace Lycheewall
{

namespace
{

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
    const double elapsed = fractionalSeconds(now - this->lastSampleAt);
    const double coresUsed = elapsed > 0 ? fractionalSeconds(cpuTime - this->lastCpuTime) / elapsed : 0;
    this->lastSampleAt = now;
    this->lastCpuTime = cpuTime;
    return coresUsed;
}

}
