#pragma once

#include "scheduling/groupscheduler.h"
#include "scheduling/schedulercontext.h"

#include <map>
#include <memory>
#include <mutex>

namespace Lycheewall
{

/**
 * The plain version that measurements compare with: a random replica at once, up to 2 retries of idempotent tasks at
 * random replicas, no hedge, no queue, no concurrency limit, no cold handling, no gate.
 * Thread safety: any thread.
 */
class NaiveScheduler : public GroupScheduler, public std::enable_shared_from_this<NaiveScheduler>
{
    struct Private
    {
        explicit Private() = default;
    };

public:
    static constexpr std::uint32_t maxRetries = 2;

    static std::shared_ptr<GroupScheduler>
    create(const SchedulerContext &context, const Pool &pool, const Group &group);

    NaiveScheduler(Private, const SchedulerContext &schedulerContext, const Pool &pool, const Group &group);

    TaskId submit(GroupTask task, Callback callback) override;
    void cancel(TaskId task) override;
    /// Takes over the list of endpoints only; drained zones and leaving endpoints are not looked at.
    void update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained) override;
    void stop(std::function<void()> stopped) override;
    std::vector<EndpointId> cold() const override;
    SchedulerState state() const override;

private:
    struct Task
    {
        GroupTask spec;
        Callback callback;
        TimePoint submitted;
        std::uint32_t retries = 0;
        EndpointId endpoint;
        AttemptId attempt;
        Subscription deadline;
    };

    void startAttempt(TaskId id);
    void attemptEnded(TaskId id, AttemptId attempt, const EndpointAnswer &answer);
    void finish(TaskId id, const EndpointAnswer &answer);
    void later(std::function<void()> callback);
    void reportStopped();

    const SchedulerContext context;
    const PoolId pool;
    const GroupId group;

    mutable std::mutex mutex;
    std::vector<EndpointId> endpoints;
    int connections;
    std::uint64_t lastTask = 0;
    std::map<TaskId, Task> tasks;
    std::map<std::uint64_t, Subscription> deferred;
    std::uint64_t lastDeferred = 0;
    bool stopping = false;
    std::function<void()> stopped;
};

}
