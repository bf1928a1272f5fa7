#pragma once

#include "catalogue/catalogue.h"
#include "scheduling/endpointtransport.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Lycheewall
{

/// Number of a task inside one scheduler. 0 is never given out.
using TaskId = StrongId<struct TaskTag, std::uint64_t>;

/// A sub-request for one group.
struct GroupTask
{
    RequestId request;
    OrganisationId organisation;
    WorkClass workClass = WorkClass::Interactive;
    /// The index version that has to answer; 0 for pools without snapshots.
    SnapshotVersion snapshot;
    /// False when the work must not run twice.
    bool idempotent = true;
    /// Time left until the caller's deadline.
    Duration remaining {};
    std::string body;
};

/// How a task ended.
struct GroupOutcome
{
    /// NotRun only when no attempt can have run at any endpoint.
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    /// Refusal::None when answered.
    Refusal reason = Refusal::None;
    SnapshotVersion snapshot;
    std::uint64_t documents = 0;
    std::string body;
    /// The endpoint that answered, or that was tried last; empty when none was tried.
    EndpointId endpoint;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    /// From submit() to the first dispatch, or to the end when there was none.
    Duration queued {};
    /// From the first dispatch to the end.
    Duration service {};
    /// Entries in the queue of the group when the task ended.
    std::uint32_t queueLength = 0;
};

/// What operators see of one endpoint.
struct EndpointReport
{
    EndpointId id;
    /// Attempts that may run at the same time at present.
    int limit = 0;
    /// Attempts that hold a slot, cancelled ones included until their end is known.
    int running = 0;
    /// Late answers in a row.
    int lateStreak = 0;
    bool cold = false;
    /// False while the endpoint is leaving or in a drained zone.
    bool inService = true;
};

struct SchedulerState
{
    std::size_t queueLength = 0;
    std::vector<EndpointReport> endpoints;
};

/**
 * Runs the sub-requests of one group on its replicas.
 * Thread safety: any thread. Callbacks run without locks held and never inside a method of this class.
 */
class GroupScheduler
{
public:
    using Callback = std::function<void(GroupOutcome)>;

    virtual ~GroupScheduler() = default;

    /// Takes a task. @p callback runs exactly once, at the latest when `remaining` has passed, and never inside
    /// submit().
    virtual TaskId submit(GroupTask task, Callback callback) = 0;

    /// Gives a task up. Its callback still runs with Refusal::Cancelled, unless it already ran. Unknown ids are
    /// ignored.
    virtual void cancel(TaskId task) = 0;

    /// Puts a newer catalogue into force. Preconditions: same pool and group ids as before.
    virtual void update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained) = 0;

    /// Takes no new work: queued tasks end NotRun/NotOwner, running attempts finish, then @p stopped runs once.
    virtual void stop(std::function<void()> stopped) = 0;

    /// Endpoints that run below their full concurrency because they are cold.
    virtual std::vector<EndpointId> cold() const = 0;

    virtual SchedulerState state() const = 0;
};

}
