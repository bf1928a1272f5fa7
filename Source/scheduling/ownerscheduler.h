#pragma once

#include "core/clock.h"
#include "core/counters.h"
#include "core/random.h"
#include "core/timerservice.h"
#include "lease/ownership.h"
#include "scheduling/groupscheduler.h"
#include "scheduling/retrybudget.h"

#include <memory>

namespace Lycheewall
{

/// What a scheduler works with. Everything referred to outlives the scheduler and all its attempts.
struct SchedulerContext
{
    const Clock &clock;
    TimerService &timers;
    Random &random;
    EndpointTransport &transport;
    const Ownership &ownership;
    RetryBudget &budget;
    Counters &counters;
};

/**
 * Scheduler of the owner of a group: one bounded fair queue, late binding to the replicas, hedges and retries.
 * Each dispatch asks the same gate: ownership, drained zone, leaving endpoint, deadline, slots, concurrency limit.
 * Thread safety: any thread.
 */
class OwnerScheduler
{
public:
    /// Endpoints in @p knownWarm start at their full concurrency, all others at their cold limit.
    static std::shared_ptr<GroupScheduler> create(const SchedulerContext &context,
                                                  const Pool &pool,
                                                  const Group &group,
                                                  const std::set<ZoneId> &drained,
                                                  const std::set<EndpointId> &knownWarm);
};

}
