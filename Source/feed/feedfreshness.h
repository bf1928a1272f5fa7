#pragma once

#include "core/clock.h"

#include <optional>

namespace Lycheewall
{

/**
 * Upper bounds of the age of this instance's feed data.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedFreshness
{
public:
    explicit FeedFreshness(const Clock &clock);

    /// Confirms that the replica holds all changes that the store had at @p time. Times before an earlier confirmation
    /// are ignored.
    void confirm(TimePoint time);

    /// The store has come back from an older copy, and what it has lost is written again by @p rewrittenAt. Confirmed
    /// times before do not show that all acknowledged changes are known, such as the withdrawal of a key.
    void storeRestored(TimePoint rewrittenAt);

    /// Like storeRestored(), but this instance may know nothing else than the copy, so its earlier confirmations do not
    /// count either.
    void copyListed(TimePoint rewrittenAt);

    /// Takes copyListed() back: nothing is missing. Precondition: storeRestored() was not called since.
    void copyIsComplete();

    /// Time since the latest moment up to which all acknowledged changes are known; Duration::max() before the first
    /// confirmation. Decides whether requests are accepted.
    Duration age() const;

    /// Time since the latest confirmation, whatever the store has lost; Duration::max() before the first one. Decides
    /// whether sources of the feed work.
    Duration replicaAge() const;

    /// Latest confirmed time; std::nullopt before the first confirmation.
    std::optional<TimePoint> confirmedUntil() const;

private:
    Duration timeSince(const std::optional<TimePoint> &time) const;

    const Clock &clock;
    std::optional<TimePoint> latestConfirmed;
    /// The latest confirmed time apart from those at which the store had lost changes.
    std::optional<TimePoint> latestComplete;
    /// When the changes that the store has lost are written again; std::nullopt if it has lost none.
    std::optional<TimePoint> completeFrom;
};

}
