#pragma once

#include "core/clock.h"
#include "forwarding/routetable.h"

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

/**
 * This instance's share of the fleet's budget of extra attempts (retries and hedges), for each service. Each request
 * adds the ratio to the budget of the instance that serves it, and the slack is divided among the instances. So the sum
 * over all instances stays within the limit without any messages between them.
 * Thread safety: none; used on the thread of the request loop.
 */
class FleetRetryBudget
{
public:
    FleetRetryBudget(const FleetRetryLimits &limits, const Clock &clock);

    void setLimits(const FleetRetryLimits &limits);

    /// Sets this instance's share of the fleet's slack, above 0 and at most 1.
    void setFleetShare(double share);

    /// Adds the ratio to the budget of @p service, for one first attempt.
    void recordFirstAttempt(const ServiceId &service);

    /// Takes one extra attempt from the budget; returns false if none is left.
    bool tryAcquire(const ServiceId &service);

    /// Returns an extra attempt that was taken but not sent.
    void refund(const ServiceId &service);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint refilledAt;
    };

    double capacity() const;
    /// The token bucket of the service, refilled up to now.
    Bucket &refilledBucket(const ServiceId &service);

    FleetRetryLimits limits;
    const Clock &clock;
    double fleetShare = 1;
    std::unordered_map<ServiceId, Bucket> buckets;
};

}
