#pragma once

#include <chrono>

namespace Lycheewall
{

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

/// Time base of all deadlines, timeouts and ages: monotonic, and includes the time while the host is suspended.
struct BootTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootTime>;
    static constexpr bool is_steady = true;
};
using TimePoint = BootTime::time_point;

/// Whole milliseconds, rounded towards zero.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

inline double fractionalMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline double fractionalSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Rounded towards zero to whole nanoseconds.
inline Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

/// Rounded towards zero to whole nanoseconds.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
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
