#pragma once

#include <chrono>

namespace Lycheewall
{

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

/// Time base of all decisions: counts through suspension of the machine and never steps back.
struct BootTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootTime>;
    static constexpr bool is_steady = true;
};
using TimePoint = BootTime::time_point;

/// Whole milliseconds of a duration, rounded down.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

/**
 * Source of the current time.
 * Thread safety: now() may be called from any thread.
 */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

}
