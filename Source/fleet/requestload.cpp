#include "fleet/requestload.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Weight of the newest interval in the moving average.
constexpr double smoothingFactor = 0.3;
/// The cost of control is high while a process starts. Its estimate therefore decreases at once and increases slowly.
constexpr double controlIncreaseFactor = 0.1;

}

void RequestLoad::addInterval(double coresUsed, bool hadRequests)
{
    if (!hadRequests) {
        const double previous = this->control.value_or(coresUsed);
        this->control = std::min(coresUsed, previous + controlIncreaseFactor * (coresUsed - previous));
    }
    const double sample = hadRequests ? std::max(0.0, coresUsed - this->controlCores()) : 0;
    this->mean += smoothingFactor * (sample - this->mean);
}

double RequestLoad::cores() const
{
    return this->mean;
}

double RequestLoad::controlCores() const
{
    return this->control.value_or(0);
}

}
