#include "forwarding/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Upper bounds of the buckets grow by this factor from the smallest one, up to about 25 s.
constexpr double bucketGrowth = 1.18;
constexpr double smallestBoundMs = 0.2;
/// All counts are halved at this total, so that the model follows changes within a few hundred samples.
constexpr float halvingTotal = 600;
constexpr float minSamples = 20;

}

std::size_t LatencyModel::bucketIndex(Duration latency)
{
    const double milliseconds = fractionalMilliseconds(latency);
    if (milliseconds <= smallestBoundMs) {
        return 0;
    }
    const double bucket = std::ceil(std::log(milliseconds / smallestBoundMs) / std::log(bucketGrowth));
    return std::min(static_cast<std::size_t>(bucket), bucketCount - 1);
}

Duration LatencyModel::upperBound(std::size_t bucket)
{
    return fromMilliseconds(smallestBoundMs * std::pow(bucketGrowth, static_cast<double>(bucket)));
}

void LatencyModel::record(const std::string &route, Duration latency)
{
    Distribution &distribution = this->distributions[route];
    distribution.counts[bucketIndex(latency)] += 1;
    distribution.total += 1;
    if (distribution.total < halvingTotal) {
        return;
    }
    distribution.total = 0;
    for (float &count : distribution.counts) {
        count /= 2;
        distribution.total += count;
    }
}

Duration LatencyModel::quantile(const std::string &route, double level, Duration fallback) const
{
    const auto entry = this->distributions.find(route);
    if (entry == this->distributions.end() || entry->second.total < minSamples) {
        return fallback;
    }
    const Distribution &distribution = entry->second;
    const double targetCount = level * distribution.total;
    double cumulativeCount = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulativeCount += distribution.counts[bucket];
        if (cumulativeCount >= targetCount) {
            return upperBound(bucket);
        }
    }
    return upperBound(bucketCount - 1);
}

}
