#include "scheduling/hedgepolicy.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Share of attempts below the delay at a full and at an empty budget; 0.945 at half of it.
constexpr double plentifulShare = 0.90;
constexpr double scarceShare = 0.99;
/// The 95th percentile of an exponential distribution is 3 times its mean.
constexpr int delayOverMean = 3;
/// Samples between two sorts of the window.
constexpr std::size_t sortInterval = 16;
constexpr int longestExpectedFactor = 2;
constexpr int shortestExpectedDivisor = 4;

}

HedgePolicy::HedgePolicy(Duration usualService)
    : usual(usualService)
{
}

void HedgePolicy::observe(Duration service)
{
    const std::lock_guard lock(this->mutex);
    ++this->unsorted;
    if (this->window.size() < windowSize) {
        this->window.push_back(service);
        return;
    }
    this->window[this->next] = service;
    this->next = (this->next + 1) % windowSize;
}

Duration HedgePolicy::delay(double budgetFill) const
{
    const std::lock_guard lock(this->mutex);
    if (this->window.size() < fewestSamples) {
        return std::max(shortestDelay, this->usual * delayOverMean);
    }
    const double share = scarceShare - (scarceShare - plentifulShare) * std::clamp(budgetFill, 0.0, 1.0);
    return std::max(shortestDelay, this->quantile(share));
}

Duration HedgePolicy::expectedService() const
{
    const std::lock_guard lock(this->mutex);
    if (this->window.size() < fewestSamples) {
        return this->usual;
    }
    return std::clamp(this->quantile(0.5), this->usual / shortestExpectedDivisor, this->usual * longestExpectedFactor);
}

Duration HedgePolicy::silenceBound() const
{
    const std::lock_guard lock(this->mutex);
    return std::max<Duration>(shortestSilence, this->usual * silenceFactor);
}

void HedgePolicy::restart(Duration usualService)
{
    const std::lock_guard lock(this->mutex);
    this->usual = usualService;
    this->window.clear();
    this->next = 0;
    this->sorted.clear();
    this->unsorted = 0;
}

Duration HedgePolicy::quantile(double share) const
{
    this->sortWindow();
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(this->sorted.size()));
    return this->sorted[std::min(rank, this->sorted.size() - 1)];
}

void HedgePolicy::sortWindow() const
{
    if (!this->sorted.empty() && this->unsorted < sortInterval) {
        return;
    }
    this->sorted = this->window;
    std::sort(this->sorted.begin(), this->sorted.end());
    this->unsorted = 0;
}

}
