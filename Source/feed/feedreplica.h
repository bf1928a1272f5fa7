#pragma once

#include "core/result.h"
#include "feed/feederror.h"
#include "feed/feedevent.h"

#include <deque>
#include <functional>
#include <map>

namespace Lycheewall
{

/**
 * A copy of the store's entries with a short history, from which other instances can read as from the store. It never
 * moves backwards: older revisions of an entry or of the store are ignored.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedReplica
{
public:
    using Listener = std::function<void(const FeedEvent &)>;

    /// Called for each change that is new to this replica.
    void setListener(Listener listener);

    /// Applies the changes that a watch returned.
    void apply(const FeedBatch &batch);

    /// Applies a complete listing that began at @p revision. Entries that are missing in it and not newer than it are
    /// removed.
    void replace(const std::vector<FeedEvent> &items, Revision revision);

    /// True until the first complete listing was applied.
    bool isEmpty() const;

    /// Revision up to which the replica holds all changes.
    Revision revision() const;

    /// Changes after revision @p after. Error: FeedError::HistoryCompacted if the history does not reach back so far.
    Result<std::vector<FeedEvent>> changesAfter(Revision after) const;

    /// All current entries in the order of their keys.
    std::vector<FeedEvent> items() const;

private:
    void applyEvent(const FeedEvent &event);

    Listener listener;
    std::map<std::string, FeedEvent> entries;
    std::deque<FeedEvent> history;
    /// The history may lack changes up to this revision.
    Revision historyStart = 0;
    Revision currentRevision = 0;
    bool initialised = false;
};

}
