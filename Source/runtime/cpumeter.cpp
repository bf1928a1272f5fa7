#include "runtime/cpumeter.h"

#include <sys/resource.h>

namespace Lycheewall
{

namespace
{

/// Weight of the newest sample.
constexpr double gain = 0.3;

Duration usedTime()
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
    , sampledAt(meterClock.now())
    , usedBefore(usedTime())
{
}

double CpuMeter::sample()
{
    const TimePoint now = this->clock.now();
    const Duration used = usedTime();
    if (now > this->sampledAt) {
        const double current = fractionalSeconds(used - this->usedBefore) / fractionalSeconds(now - this->sampledAt);
        this->mean += gain * (current - this->mean);
    }
    this->sampledAt = now;
    this->usedBefore = used;
    return this->mean;
}

}
