#include "forwarding/meanlatencyratio.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Number of recent responses that the mean follows.
constexpr double maxCount = 100;

}

void MeanLatencyRatio::record(double logRatio)
{
    this->count = std::min(this->count + 1, maxCount);
    this->mean += (logRatio - this->mean) / this->count;
}

double MeanLatencyRatio::logMean() const
{
    return this->mean;
}

}
