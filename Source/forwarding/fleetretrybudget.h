#pragma once

#include "core/clock.h"
#include "forwarding/routetable.h"

#include <unordered_map>

namespace Lycheewall
{

/// Bound on second sends to a service, over the whole fleet.
struct FleetRetryLimits
{
    /// Second sends allowed for each request, 0 to 1.
    double ratio = 0.1;
    /// Second sends allowed beside the ratio, per window.
    double slack = 10;
    Duration window = std::chrono::seconds(10);
};

/**
 * This instance's part of the fleet's budget of second sends (retries and hedges), per service. Requests earn their
 * ratio, the slack is divided among the instances; the sum over all instances keeps the limit without any
 * messages.
 * Thread safety: none; used on the thread of the request loop.
 */
class FleetRetryBudget
{
public:
    FleetRetryBudget(const FleetRetryLimits &limits, const Clock &clock);

    void setLimits(const FleetRetryLimits &limits);

    /// Part of the fleet's slack that this instance may use, above 0 and at most 1.
    void setFleetShare(double share);

    /// Counts a first send to the service.
    void recordFirstAttempt(const ServiceId &service);

    /// Takes one second send; false when none is left.
    bool tryAcquire(const ServiceId &service);

    /// Returns one that was taken but not sent.
    void refund(const ServiceId &service);

private:
    struct Account
    {
        double tokens = 0;
        TimePoint at;
    };

    double capacity() const;
    Account &account(const ServiceId &service);

    FleetRetryLimits limits;
    const Clock &clock;
    double share = 1;
    std::unordered_map<ServiceId, Account> accounts;
};

}
