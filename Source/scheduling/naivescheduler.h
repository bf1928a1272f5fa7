#pragma once

#include "scheduling/ownerscheduler.h"

#include <map>
#include <mutex>

namespace Lycheewall
{

/**
 * The plain version that measurements compare with: a random replica at once, up to 2 retries of idempotent tasks at
 * random replicas, no hedge, no queue, no concurrency limit, no cold handling.
 * Thread safety: any thread.
 */
class NaiveScheduler : public GroupScheduler, public std::enable_shared_from_this<NaiveScheduler>
{
public:
    static std::shared_ptr<GroupScheduler>
    create(const SchedulerContext &context, const Pool &pool, const Group &group, const std::set<ZoneId> &drained);

    NaiveScheduler(const SchedulerContext &context, const Pool &pool, const Group &group);

    TaskId submit(GroupTask task, Callback callback) override;
    void cancel(TaskId task) override;
    void update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained) override;
    void stop(std::function<void()> stopped) override;
    std::vector<EndpointId> cold() const override;
    SchedulerState state() const override;

private:
    struct Running;

    void startAttempt(TaskId task);
    void finishAttempt(TaskId task, AttemptId attempt, const EndpointAnswer &answer);
    void finishTask(TaskId task, const EndpointAnswer &answer);
    void expire(TaskId task);

    SchedulerContext context;
    mutable std::mutex mutex;
    Pool pool;
    Group group;
    std::uint64_t lastTask = 0;
    std::map<TaskId, std::shared_ptr<Running>> tasks;
    std::function<void()> stopped;
    std::vector<Subscription> deferred;
};

}
