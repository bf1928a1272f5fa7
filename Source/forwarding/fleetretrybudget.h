#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "forwarding/routetable.h"

#include <memory>
#include <unordered_map>

namespace Lycheewall
{

/// Limit of the extra attempts (retries and hedges) to each service, over the whole fleet.
struct FleetRetryLimits
{
    /// Extra attempts allowed per request, 0 to 1.
    double ratio = 0.1;
    /// Extra attempts allowed per window in addition to the ratio.
    double slack = 10;
    Duration window = std::chrono::seconds(10);
};

/// What an extra attempt is made for.
enum class ExtraAttempt {
    /// An attempt has failed, or its endpoint is silent for implausibly long.
    Retry,
    /// An attempt takes long, but may still succeed.
    Hedge,
};

/// What is left of the budget of one service at this instance.
struct RetryBudgetState
{
    /// Extra attempts that can be made now, and at most at the same time.
    double extraAttempts = 0;
    double capacity = 0;
    long waitingRetries = 0;
};

/**
 * This instance's share of the fleet's budget of extra attempts (retries and hedges), for each service. Each request
 * adds the ratio to the budget of the instance that serves it, and the slack is divided among the instances. So the sum
 * over all instances stays within the limit without any messages between them.
 *
 * The slack accrues to all services from shortly after the construction on, also before the first request, at the share
 * that applies at the time. Shares are often smaller than one extra attempt, so each budget begins at a random fraction
 * of one: the extra attempts of a fleet that has just started come in proportion to the time since its start.
 *
 * No hedge is made while a retry waits for the budget: the request of the retry has nothing else to wait for.
 * Thread safety: none; used on the thread of the request loop.
 */
class FleetRetryBudget
{
public:
    /// Keeps a retry that waits counted until it is destroyed. May outlive the budget.
    class WaitTicket
    {
    };
    using WaitTicketPtr = std::shared_ptr<WaitTicket>;

    FleetRetryBudget(const FleetRetryLimits &limits, const Clock &clock, Random &random);

    void setLimits(const FleetRetryLimits &limits);

    /// Sets this instance's share of the fleet's slack, above 0 and at most 1.
    void setFleetShare(double share);

    /// Adds the ratio to the budget of @p service, for one first attempt.
    void recordFirstAttempt(const ServiceId &service);

    /// Takes one extra attempt from the budget; returns false if none is left for this kind.
    bool tryAcquire(const ServiceId &service, ExtraAttempt kind = ExtraAttempt::Retry);

    /// Returns an extra attempt that was taken but not sent.
    void refund(const ServiceId &service);

    /// Time until a retry that begins to wait now can be made, after those that wait already, if only the slack refills
    /// the budget; limited to about an hour. Requests to the service shorten it.
    Duration expectedWait(const ServiceId &service);

    /// The state of the budget of @p service, without taking from it. A service that is not in use yet starts with up
    /// to one extra attempt more.
    RetryBudgetState state(const ServiceId &service) const;

    /// Counts a retry as waiting for the budget of @p service for as long as the ticket exists.
    WaitTicketPtr addWaitingRetry(const ServiceId &service);

private:
    struct Bucket
    {
        double tokens = 0;
        /// In the future until the share of a new instance has settled.
        TimePoint refilledAt;
        /// Waiting retries hold further references.
        WaitTicketPtr waitTicket = std::make_shared<WaitTicket>();

        long waitingRetries() const
        {
            return this->waitTicket.use_count() - 1;
        }
    };

    double capacity() const;
    /// Extra attempts per second by which the slack refills a bucket.
    double refillRate() const;
    void refill(Bucket &bucket, double bucketCapacity) const;
    /// Refills all buckets by the present limits and share, before these change.
    void refillAll();
    void refillUnusedBucket();
    double unusedCapacity() const;
    /// The token bucket of the service, refilled up to now.
    Bucket &refilledBucket(const ServiceId &service);

    FleetRetryLimits limits;
    const Clock &clock;
    Random &random;
    double fleetShare = 1;
    std::unordered_map<ServiceId, Bucket> buckets;
    /// What has accrued to each service that is not in use yet.
    Bucket unusedBucket;
};

}
