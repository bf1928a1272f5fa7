#pragma once

#include "scheduling/groupwork.h"

#include <memory>
#include <mutex>

namespace Lycheewall
{

/**
 * Scheduler of the owner of a group: one bounded fair queue, late binding to the replicas, hedges and retries.
 * Each dispatch asks the same gate: ownership, drained zone, leaving endpoint, deadline, slots, concurrency limit.
 * Attempts keep the scheduler alive until they end. Call stop() before the last reference goes, so that queued tasks
 * are answered.
 * Thread safety: any thread.
 */
class OwnerScheduler : public GroupScheduler, public std::enable_shared_from_this<OwnerScheduler>
{
    struct Private
    {
        explicit Private() = default;
    };

public:
    /// Endpoints in @p knownWarm start at their full concurrency, all others at their cold limit.
    static std::shared_ptr<GroupScheduler> create(const SchedulerContext &context,
                                                  const Pool &pool,
                                                  const Group &group,
                                                  const std::set<ZoneId> &drained,
                                                  const std::set<EndpointId> &knownWarm);

    OwnerScheduler(Private,
                   const SchedulerContext &schedulerContext,
                   const Pool &pool,
                   const Group &group,
                   const std::set<ZoneId> &drained,
                   const std::set<EndpointId> &knownWarm);

    TaskId submit(GroupTask task, Callback callback) override;
    void cancel(TaskId task) override;
    void update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained) override;
    void stop(std::function<void()> stopped) override;
    std::vector<EndpointId> cold() const override;
    SchedulerState state() const override;

private:
    enum class Delivery { Now, Later };

    void wake();
    void attemptEnded(AttemptId attempt, const EndpointAnswer &answer);
    void proceed(Delivery delivery);
    void perform(const GroupWork::Step &step);
    void deliver(Delivery delivery);
    void arm(TimePoint now);

    const SchedulerContext context;

    mutable std::mutex mutex;
    GroupWork work;
    Subscription wakeTimer;
    std::optional<TimePoint> wakeAt;
    /// Runs the callbacks that may not run inside the caller's method.
    Subscription dueTimer;
    bool dueArmed = false;
};

}
