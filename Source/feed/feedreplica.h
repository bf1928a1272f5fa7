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
 * steps back: older revisions of an entry and older positions are ignored.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedReplica
{
public:
    using Listener = std::function<void(const FeedEvent &)>;

    /// Called for each change that is new to this replica.
    void setListener(Listener listener);

    /// Takes the changes of a watch.
    void apply(const FeedBatch &batch);

    /// Takes a whole listing that began at position @p at. Entries that are missing in it and not newer are removed.
    void replace(const std::vector<FeedEvent> &items, Revision at);

    bool isEmpty() const;
    Revision revision() const;

    /// Changes after @p after. Error: FeedError::HistoryCompacted.
    Result<std::vector<FeedEvent>> changesAfter(Revision after) const;
    std::vector<FeedEvent> items() const;

private:
    void take(const FeedEvent &event);

    Listener listener;
    std::map<std::string, FeedEvent> entries;
    std::deque<FeedEvent> history;
    /// Changes up to here may be missing in the history.
    Revision historyStart = 0;
    Revision at = 0;
    bool filled = false;
};

}
