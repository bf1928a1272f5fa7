#include "core/boottimeclock.h"

#include <ctime>

namespace Lycheewall
{

TimePoint BootTimeClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
