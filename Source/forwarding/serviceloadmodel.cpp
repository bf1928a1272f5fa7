#include "forwarding/serviceloadmodel.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Number of recent responses that the mean follows.
constexpr double maxCount = 100;

}

void ServiceLoadModel::recordWorkFactor()
{
    this->reports = WorkFactors::Reported;
}

void ServiceLoadModel::recordResponseWithoutWorkFactor()
{
    if (this->reports == WorkFactors::Unknown) {
        this->reports = WorkFactors::NotReported;
    }
}

void ServiceLoadModel::forgetWorkFactors()
{
    this->reports = WorkFactors::Unknown;
}

ServiceLoadModel::WorkFactors ServiceLoadModel::workFactors() const
{
    return this->reports;
}

void ServiceLoadModel::recordLatencyRatio(double logRatio)
{
    this->count = std::min(this->count + 1, maxCount);
    this->mean += (logRatio - this->mean) / this->count;
}

double ServiceLoadModel::meanLogLatencyRatio() const
{
    return this->mean;
}

}
