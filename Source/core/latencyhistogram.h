#pragma once

#include "core/clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace Lycheewall
{

/**
 * Histogram of durations with fixed buckets.
 * Thread safety: any thread, lock-free.
 */
class LatencyHistogram
{
public:
    void record(Duration duration);

    /// The histogram in the Prometheus text exposition format under @p name. Bounds and sum are in milliseconds.
    std::string exposition(const std::string &name) const;

private:
    static constexpr std::array<int, 12> boundsMs { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

    std::array<std::atomic<std::uint64_t>, boundsMs.size() + 1> counts {};
    std::atomic<std::uint64_t> sumMicroseconds { 0 };
};

}
