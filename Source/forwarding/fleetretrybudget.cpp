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
/// A new instance has learned the size of the fleet after this time. Until then its share may be much too large, and
/// the slack does not accrue to services without requests.
constexpr Duration shareSettlingTime = std::chrono::seconds(3);
/// The expected wait of a budget that is not refilled.
constexpr double longestWaitSeconds = 3600;

}

FleetRetryBudget::FleetRetryBudget(const FleetRetryLimits &retryLimits, const Clock &budgetClock, Random &budgetRandom)
    : limits(retryLimits)
    , clock(budgetClock)
    , random(budgetRandom)
    , accruesFrom(budgetClock.now() + shareSettlingTime)
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

double FleetRetryBudget::refillRate() const
{
    return usedRefillFraction * this->limits.slack * this->fleetShare / fractionalSeconds(this->limits.window);
}

FleetRetryBudget::Bucket &FleetRetryBudget::refilledBucket(const ServiceId &service)
{
    const TimePoint now = this->clock.now();
    const auto [entry, added] = this->buckets.try_emplace(service);
    Bucket &bucket = entry->second;
    if (added) {
        // The minimum capacity of one extra attempt does not apply to the time before the first use: added up over a
        // large fleet, it could exceed the limit.
        const double accrued = this->refillRate() * std::max(0.0, fractionalSeconds(now - this->accruesFrom));
        const double limit = usedCapacityFraction * this->limits.slack * this->fleetShare;
        bucket.tokens = std::min(accrued, limit) + this->random.uniformReal();
    } else {
        bucket.tokens += this->refillRate() * fractionalSeconds(now - bucket.refilledAt);
    }
    bucket.tokens = std::min(bucket.tokens, this->capacity());
    bucket.refilledAt = now;
    return bucket;
}

void FleetRetryBudget::recordFirstAttempt(const ServiceId &service)
{
    Bucket &bucket = this->refilledBucket(service);
    bucket.tokens = std::min(bucket.tokens + usedRatioFraction * this->limits.ratio, this->capacity());
}

bool FleetRetryBudget::tryAcquire(const ServiceId &service, ExtraAttempt kind)
{
    Bucket &bucket = this->refilledBucket(service);
    const bool isReservedForRetries = kind == ExtraAttempt::Hedge && bucket.waitingRetries() > 0;
    if (bucket.tokens < 1 || isReservedForRetries) {
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

Duration FleetRetryBudget::expectedWait(const ServiceId &service)
{
    const Bucket &bucket = this->refilledBucket(service);
    const double missing = 1 + static_cast<double>(bucket.waitingRetries()) - bucket.tokens;
    if (missing <= 0) {
        return Duration::zero();
    }
    return fromSeconds(std::min(missing / std::max(this->refillRate(), 1 / longestWaitSeconds), longestWaitSeconds));
}

FleetRetryBudget::WaitTicketPtr FleetRetryBudget::addWaitingRetry(const ServiceId &service)
{
    return this->refilledBucket(service).waitTicket;
}

}
