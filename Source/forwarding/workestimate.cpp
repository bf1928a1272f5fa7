#include "forwarding/workestimate.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Latencies that are recorded before the estimate is used.
constexpr int minSamples = 10;
/// Number of recent latencies that the averages follow.
constexpr int maxSamples = 50;
/// Distance of the lowest latency from the mean in standard deviations.
constexpr double lowestDeviations = 2.5;

}

void WorkEstimate::record(Duration latency)
{
    const double logLatency = std::log(fractionalSeconds(latency));
    this->samples = std::min(this->samples + 1, maxSamples);
    const double gain = 1.0 / this->samples;
    const double difference = logLatency - this->logMean;
    this->logMean += gain * difference;
    this->logVariance = (1 - gain) * (this->logVariance + gain * difference * difference);
}

Duration WorkEstimate::typical(Duration fallback) const
{
    return this->samples < minSamples ? fallback : fromSeconds(std::exp(this->logMean));
}

Duration WorkEstimate::lowest() const
{
    if (this->samples < minSamples) {
        return Duration::zero();
    }
    return fromSeconds(std::exp(this->logMean - lowestDeviations * std::sqrt(this->logVariance)));
}

}
