#include "forwarding/sharddelivery.h"

#include <cmath>

namespace Lycheewall
{

namespace
{

/// Weight of one query in the moving averages.
constexpr double gain = 0.1;
/// Coverage is not expected if it is further above the expected number of responses, in standard deviations.
constexpr double reachableDeviations = 3;

}

void ShardDelivery::record(std::size_t shard, std::size_t shardCount, bool delivered)
{
    if (this->deliveredFractions.size() != shardCount) {
        // The index was divided into another set of shards.
        this->deliveredFractions.assign(shardCount, 1);
    }
    double &fraction = this->deliveredFractions[shard];
    fraction += gain * ((delivered ? 1 : 0) - fraction);
}

void ShardDelivery::recordCoverage(std::size_t delivered)
{
    if (!this->canReach(delivered, this->deliveredFractions.size())) {
        this->deliveredFractions.clear();
    }
}

bool ShardDelivery::canReach(std::size_t required, std::size_t shardCount) const
{
    if (this->deliveredFractions.empty() || this->deliveredFractions.size() != shardCount) {
        return true;
    }
    double mean = 0;
    double variance = 0;
    for (const double fraction : this->deliveredFractions) {
        mean += fraction;
        variance += fraction * (1 - fraction);
    }
    return mean + reachableDeviations * std::sqrt(variance) >= static_cast<double>(required);
}

}
