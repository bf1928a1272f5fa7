#pragma once

#include "core/random.h"
#include "scheduling/endpointstate.h"
#include "scheduling/groupscheduler.h"

#include <map>
#include <optional>
#include <set>

namespace Lycheewall
{

/**
 * The replicas of one group and the choice among them.
 * Thread safety: not synchronised; it is part of a scheduler and guarded by the scheduler's mutex.
 */
class ReplicaSet
{
public:
    /// A replica counts as slow when its typical service time exceeds this many times both the best one's and the usual
    /// one. The best one's alone is not enough: medians of 9 exponential times differ by 2 so often that tasks waited
    /// beside free slots half of the time at load 0.7.
    static constexpr int slowFactor = 2;
    /// A slow replica gets an attempt at least this often, so that its recovery is seen.
    static constexpr Duration probeInterval = Milliseconds(1000);

    /// What a task asks of a replica.
    struct Wish
    {
        SnapshotVersion snapshot;
        /// Replicas where an attempt of the task still holds a slot; never chosen.
        std::set<EndpointId> busy;
        /// Replicas that failed the task before; chosen only when there is no other.
        std::set<EndpointId> tried;
    };

    ReplicaSet(const Pool &pool,
               const Group &group,
               const std::set<ZoneId> &drained,
               const std::set<EndpointId> &knownWarm);

    /// Applies a newer catalogue. Replicas that are no longer listed stay until their attempts have ended.
    void update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained);

    /// The replica that should run the task now, if any: the least loaded one that has room. A slow replica or one
    /// that failed the task is chosen only when waiting for another one is expected to take longer.
    std::optional<EndpointId> choose(const Wish &wish, std::size_t waitingBefore, TimePoint now, Random &random) const;

    /// Why no replica can run work for this snapshot at present, however long it waits; None when one can.
    Refusal obstacle(SnapshotVersion snapshot, TimePoint now) const;

    /// Why nothing runs although there are replicas: EndpointUnavailable when all of them refuse, otherwise None.
    Refusal stall(TimePoint now) const;

    bool hasRoom(TimePoint now) const;
    /// Earliest end of a pause after @p now.
    std::optional<TimePoint> nextPauseEnd(TimePoint now) const;

    /// Precondition: the replica is known, as are all that choose() returned and whose attempts have not ended.
    EndpointState &at(const EndpointId &endpoint);

    /// Forgets a replica that is no longer listed when nothing runs there.
    void forgetIfUnlisted(const EndpointId &endpoint);

    std::vector<EndpointId> cold() const;
    std::vector<EndpointReport> reports() const;

private:
    struct Replica
    {
        EndpointState state;
        bool listed = true;
        /// Out of service because of its zone rather than because it is leaving.
        bool zoneDrained = false;
    };

    using Entry = std::pair<const EndpointId, Replica>;
    using Candidates = std::vector<const Entry *>;

    bool isSlow(const Replica &replica, Duration best, TimePoint now) const;
    Duration bestTypical() const;
    /// Slots, free or taken, of the replicas that are neither slow nor tried by the task.
    int usableSlots(const Wish &wish, TimePoint now) const;
    static const Entry *leastLoaded(Candidates &candidates, Random &random);

    Duration usualService;
    std::map<EndpointId, Replica> replicas;
};

}
