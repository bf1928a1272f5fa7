#pragma once

#include "core/result.h"
#include "feed/feederror.h"
#include "feed/feedevent.h"

#include <functional>
#include <map>
#include <set>

namespace Lycheewall
{

/**
 * A copy of the store's entries, from which other instances can read as from the store. Of each entry it keeps the
 * latest change only, removals included, so its size does not depend on how often an entry changes. It never moves
 * backwards: older positions of the store and older revisions of an entry within an era are ignored. It enters a new
 * era with a complete listing.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedReplica
{
public:
    using Listener = std::function<void(const FeedEvent &)>;

    /// Called for each change that is new to this replica.
    void setListener(Listener listener);

    /// Applies the changes that a watch returned. Ignores those of another era.
    void apply(const FeedBatch &batch);

    /// Applies a complete listing that began at @p position. Entries that are missing in it and not newer than it are
    /// removed.
    void replace(const std::vector<FeedEvent> &items, FeedPosition position);

    /// True until the first complete listing was applied.
    bool isEmpty() const;

    /// Position up to which the replica holds all changes.
    FeedPosition position() const;

    /// The latest change of each entry that has changed after @p after, the oldest first. They end after about
    /// @p maxBytes, with FeedBatch::hasMore, but make progress: a single larger change is returned whole. The age is
    /// not set. Error: FeedError::HistoryCompacted if @p after is of another era, or if removals after it may have been
    /// forgotten.
    Result<FeedBatch> changesAfter(FeedPosition after, std::size_t maxBytes) const;

    /// True if changesAfter() would return an error or at least one change.
    bool hasChangesAfter(FeedPosition after) const;

    /// Current entries after @p afterKey in the order of their keys, from the first if it is empty; limited to about
    /// @p maxBytes with FeedPage::hasMore. The age is not set.
    FeedPage listAfter(const std::string &afterKey, std::size_t maxBytes) const;

    /// All current entries in the order of their keys.
    std::vector<FeedEvent> items() const;

private:
    /// True if the history since @p after is complete.
    bool coversHistoryAfter(FeedPosition after) const;
    void applyEvent(const FeedEvent &event);
    void updateEntries(const std::vector<FeedEvent> &items, Revision listedRevision);
    void enterEra(const std::vector<FeedEvent> &items, Revision listedRevision);
    void notify(const FeedEvent &event) const;
    void store(const FeedEvent &event);
    void forgetOldRemovals();
    void forgetRemoval(const std::pair<Revision, std::string> &removal);

    Listener listener;
    /// The latest change of each entry. Removed entries stay as removals until they are forgotten.
    std::map<std::string, FeedEvent> entries;
    /// Revisions and keys of the entries, and of the removals among them.
    std::set<std::pair<Revision, std::string>> byRevision;
    std::set<std::pair<Revision, std::string>> removals;
    /// Keys of removals that a listing has ended. An older copy of the store may still hold their entries.
    std::set<std::string> removedBeforeListing;
    /// Removals up to this revision may have been forgotten.
    Revision historyStart = 0;
    FeedPosition currentPosition;
    bool initialised = false;
};

}
