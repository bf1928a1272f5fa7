#include "feed/feedreplica.h"

#include <algorithm>
#include <set>

namespace Lycheewall
{

namespace
{

/// Number of changes kept for the other instances that read from this one.
constexpr std::size_t historyLength = 400;

}

void FeedReplica::setListener(Listener newListener)
{
    this->listener = std::move(newListener);
}

void FeedReplica::applyEvent(const FeedEvent &event)
{
    const auto existing = this->entries.find(event.key);
    if (existing != this->entries.end() && existing->second.revision >= event.revision) {
        return;
    }
    if (event.deleted) {
        if (existing == this->entries.end()) {
            return;
        }
        this->entries.erase(existing);
    } else {
        this->entries[event.key] = event;
    }
    this->history.push_back(event);
    if (this->history.size() > historyLength) {
        this->historyStart = std::max(this->historyStart, this->history.front().revision);
        this->history.pop_front();
    }
    if (this->listener) {
        this->listener(event);
    }
}

void FeedReplica::apply(const FeedBatch &batch)
{
    for (const FeedEvent &event : batch.events) {
        this->applyEvent(event);
    }
    this->currentRevision = std::max(this->currentRevision, batch.revision);
}

void FeedReplica::replace(const std::vector<FeedEvent> &items, Revision listedRevision)
{
    if (this->initialised && listedRevision < this->currentRevision) {
        return;
    }
    std::set<std::string> listedKeys;
    for (const FeedEvent &item : items) {
        listedKeys.insert(item.key);
        this->applyEvent(item);
    }
    std::vector<FeedEvent> removals;
    for (const auto &[key, entry] : this->entries) {
        if (listedKeys.count(key) == 0 && entry.revision <= listedRevision) {
            removals.push_back({ key, {}, listedRevision, true });
        }
    }
    for (const FeedEvent &event : removals) {
        // The entry may have the revision of the listing itself; a removal must have a newer revision to be applied.
        this->entries[event.key].revision = std::min(this->entries[event.key].revision, listedRevision - 1);
        this->applyEvent(event);
    }
    // The order of the changes within a listing is unknown, so other instances cannot resume from a revision inside it.
    this->history.clear();
    this->currentRevision = std::max(this->currentRevision, listedRevision);
    this->historyStart = this->currentRevision;
    this->initialised = true;
}

bool FeedReplica::isEmpty() const
{
    return !this->initialised;
}

Revision FeedReplica::revision() const
{
    return this->currentRevision;
}

Result<std::vector<FeedEvent>> FeedReplica::changesAfter(Revision after) const
{
    if (!this->initialised || after < this->historyStart) {
        return make_error_code(FeedError::HistoryCompacted);
    }
    std::vector<FeedEvent> changes;
    for (const FeedEvent &event : this->history) {
        if (event.revision > after) {
            changes.push_back(event);
        }
    }
    return changes;
}

std::vector<FeedEvent> FeedReplica::items() const
{
    std::vector<FeedEvent> result;
    result.reserve(this->entries.size());
    for (const auto &[key, entry] : this->entries) {
        result.push_back(entry);
    }
    return result;
}

}
