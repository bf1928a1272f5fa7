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
/// A new instance has learned the size of the fleet after this time. Until then its share may be much too large, so the
/// slack does not accrue.
constexpr Duration shareSettlingTime = std::chrono::seconds(3);
/// The expected wait of a budget that is not refilled.
constexpr double longestWaitSeconds = 3600;

}

FleetRetryBudget::FleetRetryBudget(const FleetRetryLimits &retryLimits, const Clock &budgetClock, Random &budgetRandom)
    : limits(retryLimits)
    , clock(budgetClock)
    , random(budgetRandom)
{
    this->unusedBucket.refilledAt = budgetClock.now() + shareSettlingTime;
}

void FleetRetryBudget::setLimits(const FleetRetryLimits &newLimits)
{
    this->refillAll();
    this->limits = newLimits;
}

void FleetRetryBudget::setFleetShare(double newShare)
{
    if (newShare == this->fleetShare) {
        return;
    }
    this->refillAll();
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

void FleetRetryBudget::refill(Bucket &bucket, double bucketCapacity) const
{
    const TimePoint now = this->clock.now();
    const double elapsed = std::max(0.0, fractionalSeconds(now - bucket.refilledAt));
    bucket.tokens = std::min(bucket.tokens + this->refillRate() * elapsed, bucketCapacity);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
}

void FleetRetryBudget::refillAll()
{
    for (auto &[service, bucket] : this->buckets) {
        this->refill(bucket, this->capacity());
    }
    this->refillUnusedBucket();
}

void FleetRetryBudget::refillUnusedBucket()
{
    this->refill(this->unusedBucket, this->unusedCapacity());
}

double FleetRetryBudget::unusedCapacity() const
{
    // The minimum capacity of one extra attempt does not apply before the first use: added up over a large fleet, it
    // could exceed the limit.
    return usedCapacityFraction * this->limits.slack * this->fleetShare;
}

RetryBudgetState FleetRetryBudget::state(const ServiceId &service) const
{
    const auto used = this->buckets.find(service);
    if (used == this->buckets.end()) {
        Bucket bucket;
        bucket.tokens = this->unusedBucket.tokens;
        bucket.refilledAt = this->unusedBucket.refilledAt;
        this->refill(bucket, this->unusedCapacity());
        return { bucket.tokens, this->capacity(), 0 };
    }
    const long waitingRetries = used->second.waitingRetries();
    // A copy shares the ticket, which would count as a waiting retry.
    Bucket bucket = used->second;
    this->refill(bucket, this->capacity());
    return { bucket.tokens, this->capacity(), waitingRetries };
}

FleetRetryBudget::Bucket &FleetRetryBudget::refilledBucket(const ServiceId &service)
{
    const auto [entry, added] = this->buckets.try_emplace(service);
    Bucket &bucket = entry->second;
    if (added) {
        this->refillUnusedBucket();
        bucket.tokens = this->unusedBucket.tokens + this->random.uniformReal();
        bucket.refilledAt = this->unusedBucket.refilledAt;
    }
    this->refill(bucket, this->capacity());
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
    const double secondsToRefill = missing / std::max(this->refillRate(), 1 / longestWaitSeconds);
    const Duration untilSettled = std::max(bucket.refilledAt - this->clock.now(), Duration::zero());
    return untilSettled + fromSeconds(std::min(secondsToRefill, longestWaitSeconds));
}

FleetRetryBudget::WaitTicketPtr FleetRetryBudget::addWaitingRetry(const ServiceId &service)
{
    return this->refilledBucket(service).waitTicket;
}

}
