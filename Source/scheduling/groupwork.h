#pragma once

#include "admission/fairqueue.h"
#include "scheduling/groupscheduler.h"
#include "scheduling/hedgepolicy.h"
#include "scheduling/replicaset.h"
#include "scheduling/schedulercontext.h"
#include "scheduling/taskledger.h"

#include <optional>
#include <set>
#include <string>

namespace Lycheewall
{

/**
 * The decisions of the owner of a group: which task runs where, what is hedged, repeated or given up. It calls neither
 * the transport nor callbacks; step() says what to do.
 * Thread safety: not synchronised; guarded by the mutex of the OwnerScheduler that holds it.
 */
class GroupWork
{
public:
    using Callback = GroupScheduler::Callback;

    /// Further attempts of one task after failures. A group has 3 or 4 replicas, so each can be tried.
    static constexpr std::uint32_t maxRetries = 3;
    /// Share of an endpoint's connection cap: three generations of owners fit under the cap.
    static constexpr int connectionShare = 3;

    struct Start
    {
        EndpointId endpoint;
        EndpointRequest request;
        int connectionBudget = 1;
    };
    /// What has to happen once the lock is released.
    struct Step
    {
        std::optional<Start> start;
        std::vector<std::pair<EndpointId, AttemptId>> cancels;
        std::vector<EndpointId> closings;
    };

    GroupWork(const SchedulerContext &schedulerContext,
              const Pool &pool,
              const Group &group,
              const std::set<ZoneId> &drained,
              const std::set<EndpointId> &knownWarm);

    TaskId submit(GroupTask task, Callback callback, TimePoint now);
    void cancel(TaskId task, TimePoint now);
    void update(const Pool &newPool, const Group &newGroup, const std::set<ZoneId> &drained);
    void stop(std::function<void()> whenStopped, TimePoint now);
    void attemptEnded(AttemptId id, const EndpointAnswer &answer, TimePoint now);

    /// Ends what is overdue and decides at most one dispatch, through the gate. Call until it starts nothing.
    Step step(TimePoint now);

    /// When step() has to be called next if nothing happens before.
    std::optional<TimePoint> nextEvent(TimePoint now) const;

    /// Callbacks that have become due since the last call.
    std::vector<std::function<void()>> takeDue();
    bool hasDue() const;

    std::vector<EndpointId> cold() const;
    SchedulerState state() const;

private:
    using Task = TaskLedger::Task;
    using Attempt = TaskLedger::Attempt;
    using Tasks = TaskLedger::Tasks;

    void endOverdue(TimePoint now);
    void overdue(AttemptId id, Attempt &attempt, TimePoint now);
    void endUnreachable(TimePoint now);
    void endQueued(Refusal reason, TimePoint now);
    std::optional<Start> nextDispatch(TimePoint now);
    std::optional<Start> nextHedge(TimePoint now);
    /// Why a straggler is not hedged, or null; then a budget token is taken and @p endpoint is set.
    const char *hedgeObstacle(const Task &task, TimePoint now, std::optional<EndpointId> &endpoint);
    Start startAttempt(TaskId id, Task &task, const EndpointId &endpoint, bool hedge, TimePoint now);
    void enqueue(TaskId id, Task &task, bool front, TimePoint now);
    void giveUp(AttemptId id, Attempt &attempt, bool straggler, TimePoint now);
    void learn(const Attempt &attempt, const EndpointAnswer &answer, TimePoint now);
    void answered(Tasks::iterator task, const EndpointId &endpoint, const EndpointAnswer &answer, TimePoint now);
    void failed(Tasks::iterator task, AttemptOutcome outcome, Refusal reason, TimePoint now);
    bool retry(Tasks::iterator task, std::string_view reason, TimePoint now);
    void finish(Tasks::iterator task, GroupOutcome outcome, TimePoint now);
    void finish(Tasks::iterator task, AttemptOutcome outcome, Refusal reason, TimePoint now);
    void finishQueued(Tasks::iterator task, Refusal reason, TimePoint now);
    bool owns() const;
    void count(const char *name, std::string_view reason);

    const SchedulerContext context;
    const PoolId pool;
    const GroupId group;
    const ResourceId resource;
    Counter &firstAttempts;
    Counter &hedgeCounter;

    EndpointLimits limits;
    ReplicaSet replicas;
    FairQueue queue;
    HedgePolicy hedging;
    TaskLedger ledger;
    /// Callbacks that are due.
    std::vector<std::function<void()>> due;
    /// What has to be asked of the transport once the lock is released.
    std::vector<std::pair<EndpointId, AttemptId>> cancels;
    std::vector<EndpointId> closings;
    bool stopping = false;
    std::function<void()> stopped;
};

}
