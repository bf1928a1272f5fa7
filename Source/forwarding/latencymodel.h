#pragma once

#include "core/clock.h"

#include <array>
#include <string>
#include <unordered_map>

namespace Lycheewall
{

/**
 * Distribution of the latency of endpoints for each route, of the recent answers.
 * Thread safety: none; used on the thread of the request loop.
 */
class LatencyModel
{
public:
    void record(const std::string &route, Duration latency);

    /// The quantile, or @p fallback while too few answers are known. Precondition: 0 < share < 1.
    Duration quantile(const std::string &route, double share, Duration fallback) const;

private:
    static constexpr std::size_t bucketCount = 72;
    struct Distribution
    {
        std::array<float, bucketCount> counts {};
        float total = 0;
    };

    static std::size_t bucketOf(Duration latency);
    static Duration upperBound(std::size_t bucket);

    std::unordered_map<std::string, Distribution> distributions;
};

}
