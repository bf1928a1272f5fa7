#include "runtime/processormeter.h"

#include <ctime>

namespace Lycheewall
{

namespace
{

/// Weight of the newest sample.
constexpr double gain = 0.3;

Duration usedTime()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}

ProcessorMeter::ProcessorMeter(const Clock &meterClock)
    : clock(meterClock)
    , sampledAt(meterClock.now())
    , usedBefore(usedTime())
{
}

double ProcessorMeter::sample()
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
