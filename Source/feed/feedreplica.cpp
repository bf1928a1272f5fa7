#include "feed/feedreplica.h"

#include <algorithm>
#include <set>

namespace Lycheewall
{

namespace
{

/// Changes kept for other instances that follow this one.
constexpr std::size_t historyLength = 400;

}

void FeedReplica::setListener(Listener newListener)
{
    this->listener = std::move(newListener);
}

void FeedReplica::take(const FeedEvent &event)
{
    const auto known = this->entries.find(event.key);
    if (known != this->entries.end() && known->second.revision >= event.revision) {
        return;
    }
    if (event.deleted) {
        if (known == this->entries.end()) {
            return;
        }
        this->entries.erase(known);
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
        this->take(event);
    }
    this->at = std::max(this->at, batch.revision);
}

void FeedReplica::replace(const std::vector<FeedEvent> &items, Revision listedAt)
{
    if (this->filled && listedAt < this->at) {
        return;
    }
    std::set<std::string> present;
    for (const FeedEvent &item : items) {
        present.insert(item.key);
        this->take(item);
    }
    std::vector<FeedEvent> gone;
    for (const auto &[key, entry] : this->entries) {
        if (present.count(key) == 0 && entry.revision <= listedAt) {
            gone.push_back({ key, {}, listedAt, true });
        }
    }
    for (const FeedEvent &event : gone) {
        // A removal at the position itself may carry the same revision as the entry.
        this->entries[event.key].revision = std::min(this->entries[event.key].revision, listedAt - 1);
        this->take(event);
    }
    // The order of changes within a listing is unknown, so followers cannot resume from inside it.
    this->history.clear();
    this->at = std::max(this->at, listedAt);
    this->historyStart = this->at;
    this->filled = true;
}

bool FeedReplica::isEmpty() const
{
    return !this->filled;
}

Revision FeedReplica::revision() const
{
    return this->at;
}

Result<std::vector<FeedEvent>> FeedReplica::changesAfter(Revision after) const
{
    if (!this->filled || after < this->historyStart) {
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
