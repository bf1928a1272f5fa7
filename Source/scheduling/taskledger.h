#pragma once

#include "scheduling/groupscheduler.h"
#include "scheduling/replicaset.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lycheewall
{

/**
 * The unfinished tasks of one group and the attempts whose end is not known yet. An attempt may outlive its task.
 * Thread safety: not synchronised; it is part of a scheduler and guarded by the scheduler's mutex.
 */
class TaskLedger
{
public:
    struct Attempt
    {
        TaskId task;
        EndpointId endpoint;
        SnapshotVersion snapshot;
        TimePoint started;
        /// The first attempt of its task; only these teach the hedge policy.
        bool first = false;
        bool hedge = false;
        /// Exceeded its bound; its task does not wait for it any more.
        bool overdue = false;
        bool cancelled = false;
    };
    struct Task
    {
        GroupTask spec;
        GroupScheduler::Callback callback;
        TimePoint submitted;
        TimePoint deadline;
        std::optional<TimePoint> firstDispatch;
        /// Attempts whose end is not known yet.
        std::set<AttemptId> live;
        std::set<EndpointId> tried;
        EndpointId lastEndpoint;
        bool queued = false;
        /// An attempt ended without a certain "not run".
        bool mayHaveRun = false;
        std::uint32_t hedges = 0;
        std::uint32_t retries = 0;
        /// Reasons for not hedging that were counted, so that each task counts a reason once.
        std::set<std::string> hedgeRefusals;
    };
    using Tasks = std::map<TaskId, Task>;
    using Attempts = std::map<AttemptId, Attempt>;

    /// Enters a task under a new number.
    Tasks::iterator add(GroupTask spec, GroupScheduler::Callback callback, TimePoint now);

    /// True when the task waits for an attempt that has not exceeded its bound.
    bool hasRunningAttempt(const Task &task) const;

    /// What the task asks of the replica of its next attempt.
    ReplicaSet::Wish wishOf(const Task &task) const;

    /// Dispatched tasks whose deadline has passed.
    std::set<TaskId> expired(TimePoint now) const;

    /// Attempts without a word for @p bound, of tasks that may be repeated or whose deadline has passed.
    std::vector<AttemptId> silent(Duration bound, TimePoint now) const;

    /// Tasks that may be hedged because their only attempt has been running for @p delay, the longest running one
    /// first: it is the most likely to be a real straggler.
    std::vector<TaskId> stragglers(Duration delay, TimePoint now) const;

    /// Earliest time after @p now at which one of the three lists above grows.
    std::optional<TimePoint> nextEvent(Duration hedgeDelay, Duration silenceBound, TimePoint now) const;

    Tasks tasks;
    Attempts attempts;

private:
    /// True when a hedge of the attempt would be the first of its task.
    static bool isLoneAttempt(const Attempt &attempt, const Task &task);

    std::uint64_t lastTask = 0;
};

}
