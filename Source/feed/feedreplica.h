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
 * backwards: older revisions of an entry or of the store are ignored.
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

    /// The latest change of each entry that has changed after revision @p after, the oldest first. They end after about
    /// @p maxBytes, with FeedBatch::hasMore, but make progress: a single larger change is returned whole. The age is
    /// not set. Error: FeedError::HistoryCompacted if removals after @p after may have been forgotten.
    Result<FeedBatch> changesAfter(Revision after, std::size_t maxBytes) const;

    /// True if changesAfter() would return an error or at least one change.
    bool hasChangesAfter(Revision after) const;

    /// Current entries after @p afterKey in the order of their keys, from the first if it is empty; limited to about
    /// @p maxBytes with FeedPage::hasMore. The age is not set.
    FeedPage listAfter(const std::string &afterKey, std::size_t maxBytes) const;

    /// All current entries in the order of their keys.
    std::vector<FeedEvent> items() const;

private:
    void applyEvent(const FeedEvent &event);
    void store(const FeedEvent &event);
    void forgetOldRemovals();
    void forgetRemoval(const std::pair<Revision, std::string> &removal);

    Listener listener;
    /// The latest change of each entry. Removed entries stay as removals until they are forgotten.
    std::map<std::string, FeedEvent> entries;
    /// Revisions and keys of the entries, and of the removals among them.
    std::set<std::pair<Revision, std::string>> byRevision;
    std::set<std::pair<Revision, std::string>> removals;
    /// Removals up to this revision may have been forgotten.
    Revision historyStart = 0;
    Revision currentRevision = 0;
    bool initialised = false;
};

}
