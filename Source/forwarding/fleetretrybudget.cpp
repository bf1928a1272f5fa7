#include "forwarding/fleetretrybudget.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Fractions of the limits that are used. The rest is a margin for the time in which the instances disagree about the
/// size of the fleet.
constexpr double usedRatioFraction = 0.85;
constexpr double usedCapacityFraction = 0.55;
constexpr double usedRefillFraction = 0.25;

}

FleetRetryBudget::FleetRetryBudget(const FleetRetryLimits &retryLimits, const Clock &budgetClock)
    : limits(retryLimits)
    , clock(budgetClock)
{
}

void FleetRetryBudget::setLimits(const FleetRetryLimits &newLimits)
{
    this->limits = newLimits;
}

void FleetRetryBudget::setFleetShare(double newShare)
{
    this->fleetShare = newShare;
}

double FleetRetryBudget::capacity() const
{
    return std::max(1.0, usedCapacityFraction * this->limits.slack * this->fleetShare);
}

FleetRetryBudget::Bucket &FleetRetryBudget::refilledBucket(const ServiceId &service)
{
    const TimePoint now = this->clock.now();
    const auto [entry, added] = this->buckets.try_emplace(service);
    Bucket &bucket = entry->second;
    if (added) {
        bucket.refilledAt = now;
    }
    const double elapsed = fractionalSeconds(now - bucket.refilledAt);
    const double window = fractionalSeconds(this->limits.window);
    bucket.tokens += elapsed / window * usedRefillFraction * this->limits.slack * this->fleetShare;
    bucket.tokens = std::min(bucket.tokens, this->capacity());
    bucket.refilledAt = now;
    return bucket;
}

void FleetRetryBudget::recordFirstAttempt(const ServiceId &service)
{
    Bucket &bucket = this->refilledBucket(service);
    bucket.tokens = std::min(bucket.tokens + usedRatioFraction * this->limits.ratio, this->capacity());
}

bool FleetRetryBudget::tryAcquire(const ServiceId &service)
{
    Bucket &bucket = this->refilledBucket(service);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void FleetRetryBudget::refund(const ServiceId &service)
{
    Bucket &bucket = this->refilledBucket(service);
    bucket.tokens = std::min(bucket.tokens + 1, this->capacity());
}

}
