#pragma once

#include "core/clock.h"

#include <array>
#include <string>
#include <unordered_map>

namespace Lycheewall
{

/**
 * Distribution of the latencies of recent endpoint responses, for each route.
 * Thread safety: none; used on the thread of the request loop.
 */
class LatencyModel
{
public:
    void record(const std::string &route, Duration latency);

    /// Returns the quantile at @p level, or @p fallback while there are too few samples. Precondition: 0 < level < 1.
    Duration quantile(const std::string &route, double level, Duration fallback) const;

private:
    static constexpr std::size_t bucketCount = 72;
    struct Distribution
    {
        std::array<float, bucketCount> counts {};
        float total = 0;
    };

    static std::size_t bucketIndex(Duration latency);
    static Duration upperBound(std::size_t bucket);

    std::unordered_map<std::string, Distribution> distributions;
};

}
