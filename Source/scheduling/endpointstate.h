#pragma once

#include "catalogue/catalogue.h"
#include "scheduling/endpointtransport.h"

#include <map>
#include <vector>

namespace Lycheewall
{

/**
 * What the owner knows of one endpoint: its concurrency limit, whether it is cold, how fast it answers and what runs.
 * The limit moves between the cold slots and the slots of the catalogue; see section 5.10 of docs/design.md.
 * Thread safety: not synchronised; it is part of a scheduler and guarded by the scheduler's mutex.
 */
class EndpointState
{
public:
    /// Late answers in a row that mean cold. With exponential service times 1 answer in 400 ends such a row by chance.
    static constexpr int coldLateStreak = 3;
    /// An answer is on time within this many usual service times.
    static constexpr int onTimeFactor = 2;
    /// Silent attempts in a row after which idle connections are closed.
    static constexpr int closingSilentStreak = 2;
    /// On-time answers in a row before a started or restarted process gets more than its cold slots. The first answers
    /// at one slot say little: a process that warms up over 10 answers was overloaded 22 times when one was enough.
    static constexpr int warmProof = 8;
    /// How long a missing snapshot version is remembered.
    static constexpr Duration lackLifetime = Milliseconds(200);

    /// A warm endpoint starts at its full concurrency, any other at its cold limit.
    EndpointState(const EndpointLimits &limits, bool warm, bool inService);

    /// Applies a newer catalogue. An endpoint that returns to service starts cold.
    void update(const EndpointLimits &newLimits, bool newInService);

    int limit() const;
    int running() const;
    int lateStreak() const;
    bool isCold() const;
    bool isInService() const;

    /// True when another attempt may start: in service, no wait ordered by the endpoint, fewer running than the limit.
    bool hasRoom(TimePoint now) const;
    /// End of the pause that the endpoint's last refusals ask for; may lie in the past.
    TimePoint pausedUntil() const;
    bool lacks(SnapshotVersion version, TimePoint now) const;
    /// Median of the latest service times.
    Duration typical() const;
    TimePoint lastDispatch() const;

    /// An attempt starts and takes a slot.
    void dispatched(TimePoint now);

    /// An attempt that asked for @p asked ended after @p service and frees its slot.
    void ended(const EndpointAnswer &answer, SnapshotVersion asked, Duration service, TimePoint started, TimePoint now);

    /// A cancelled attempt ended and frees its slot. Its result says nothing about the endpoint but its incarnation.
    void cancelledEnded(const EndpointAnswer &answer, TimePoint now);

    /// An attempt is given up after it ran for @p elapsed; the slot stays taken until its end is reported.
    void givenUp(Duration elapsed, TimePoint started, TimePoint now);

    /// An attempt exceeded its bound without a word. True when the idle connections should be closed.
    bool silent(TimePoint now);

private:
    void learn(Duration service, TimePoint started, TimePoint now);
    void learnIncarnation(const Incarnation &seen, TimePoint now);
    void learnRefusal(Refusal reason, SnapshotVersion asked, TimePoint now);
    void sample(Duration service);
    /// @p restarted: the process may be new, so that it has to prove itself; otherwise it was only late.
    void turnCold(bool restarted, TimePoint now);
    int lowestLimit() const;
    void pause(Duration first, Duration longest, TimePoint now);

    EndpointLimits limits;
    bool inService;
    int currentLimit;
    int taken = 0;
    /// The process may be new and has not shown that it is warm.
    bool unproven;
    int onTimeRow = 0;
    int lateRow = 0;
    int silentRow = 0;
    int pauseRow = 0;
    TimePoint coldSince {};
    TimePoint paused {};
    TimePoint dispatchedAt {};
    Incarnation incarnation;
    std::map<SnapshotVersion, TimePoint> lacking;
    std::vector<Duration> samples;
    std::size_t nextSample = 0;
    Duration median;
};

}
