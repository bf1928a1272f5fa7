#include "feed/feedreplica.h"

#include <algorithm>
#include <utility>

namespace Lycheewall
{

namespace
{

/// Number of removals kept for the other instances that read from this one.
constexpr std::size_t maxRemovals = 4000;

std::size_t sizeInBytes(const FeedEvent &event)
{
    return event.key.size() + event.value.size();
}

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
    const bool wasPresent = existing != this->entries.end() && !existing->second.deleted;
    this->store(event);
    if (wasPresent || !event.deleted) {
        this->notify(event);
    }
}

void FeedReplica::store(const FeedEvent &event)
{
    FeedEvent &entry = this->entries[event.key];
    this->byRevision.erase({ entry.revision, event.key });
    this->removals.erase({ entry.revision, event.key });
    entry = event;
    this->removedBeforeListing.erase(event.key);
    this->byRevision.emplace(event.revision, event.key);
    if (event.deleted) {
        this->removals.emplace(event.revision, event.key);
        this->forgetOldRemovals();
    }
}

void FeedReplica::forgetOldRemovals()
{
    while (this->removals.size() > maxRemovals) {
        const auto oldest = *this->removals.begin();
        this->historyStart = std::max(this->historyStart, oldest.first);
        this->forgetRemoval(oldest);
    }
}

void FeedReplica::forgetRemoval(const std::pair<Revision, std::string> &removal)
{
    this->removals.erase(removal);
    this->byRevision.erase(removal);
    this->entries.erase(removal.second);
}

void FeedReplica::apply(const FeedBatch &batch)
{
    if (batch.position.era != this->currentPosition.era) {
        return;
    }
    for (const FeedEvent &event : batch.events) {
        this->applyEvent(event);
    }
    this->currentPosition = std::max(this->currentPosition, batch.position);
}

void FeedReplica::replace(const std::vector<FeedEvent> &items, FeedPosition listedPosition)
{
    if (this->initialised && listedPosition < this->currentPosition) {
        return;
    }
    if (this->currentPosition.era < listedPosition.era) {
        this->enterEra(items, listedPosition.revision);
    } else {
        this->updateEntries(items, listedPosition.revision);
    }
    this->currentPosition = std::max(this->currentPosition, listedPosition);
    this->historyStart = this->currentPosition.revision;
    this->initialised = true;
}

void FeedReplica::updateEntries(const std::vector<FeedEvent> &items, Revision listedRevision)
{
    std::set<std::string> listedKeys;
    for (const FeedEvent &item : items) {
        listedKeys.insert(item.key);
        this->applyEvent(item);
    }
    std::vector<FeedEvent> missing;
    for (const auto &[key, entry] : this->entries) {
        if (!entry.deleted && listedKeys.count(key) == 0 && entry.revision <= listedRevision) {
            missing.push_back({ key, {}, listedRevision, true });
        }
    }
    for (const FeedEvent &event : missing) {
        this->store(event);
        this->notify(event);
    }
    // A listing does not name the entries that were added and removed since the previous one, so other instances cannot
    // resume from an earlier revision.
    while (!this->removals.empty()) {
        const std::pair<Revision, std::string> removal = *this->removals.begin();
        this->forgetRemoval(removal);
        if (this->removedBeforeListing.size() < maxRemovals) {
            this->removedBeforeListing.insert(removal.second);
        }
    }
}

void FeedReplica::enterEra(const std::vector<FeedEvent> &items, Revision listedRevision)
{
    // Revisions of two eras cannot be compared, so the listing counts even where its revisions are lower.
    std::map<std::string, FeedEvent> previous = std::exchange(this->entries, {});
    this->byRevision.clear();
    this->removals.clear();
    for (const FeedEvent &item : items) {
        const auto before = previous.find(item.key);
        const bool isKnown = before != previous.end();
        const bool isUnchanged = isKnown && !before->second.deleted && before->second.revision == item.revision
            && before->second.value == item.value;
        FeedEvent event = item;
        event.reappeared = isKnown ? before->second.deleted : this->removedBeforeListing.count(item.key) > 0;
        this->store(item);
        if (!isUnchanged) {
            this->notify(event);
        }
        previous.erase(item.key);
    }
    for (const auto &[key, entry] : previous) {
        if (!entry.deleted) {
            this->notify({ key, {}, listedRevision, true });
        }
    }
}

void FeedReplica::notify(const FeedEvent &event) const
{
    if (this->listener) {
        this->listener(event);
    }
}

bool FeedReplica::isEmpty() const
{
    return !this->initialised;
}

FeedPosition FeedReplica::position() const
{
    return this->currentPosition;
}

bool FeedReplica::coversHistoryAfter(FeedPosition after) const
{
    return this->initialised && after.era == this->currentPosition.era && after.revision >= this->historyStart;
}

Result<FeedBatch> FeedReplica::changesAfter(FeedPosition after, std::size_t maxBytes) const
{
    if (!this->coversHistoryAfter(after)) {
        return make_error_code(FeedError::HistoryCompacted);
    }
    FeedBatch batch;
    batch.position = this->currentPosition;
    std::size_t bytes = 0;
    for (auto change = this->byRevision.lower_bound({ after.revision + 1, {} }); change != this->byRevision.end();
         ++change) {
        const FeedEvent &event = this->entries.at(change->second);
        bytes += sizeInBytes(event);
        // The changes of one revision stay together, because the reader resumes after a whole revision.
        const bool startsRevision = !batch.events.empty() && batch.events.back().revision != event.revision;
        if (bytes > maxBytes && startsRevision) {
            batch.position.revision = batch.events.back().revision;
            batch.hasMore = true;
            break;
        }
        batch.events.push_back(event);
    }
    return batch;
}

bool FeedReplica::hasChangesAfter(FeedPosition after) const
{
    return !this->coversHistoryAfter(after)
        || this->byRevision.lower_bound({ after.revision + 1, {} }) != this->byRevision.end();
}

FeedPage FeedReplica::listAfter(const std::string &afterKey, std::size_t maxBytes) const
{
    FeedPage page;
    page.position = this->currentPosition;
    std::size_t bytes = 0;
    for (auto entry = this->entries.upper_bound(afterKey); entry != this->entries.end(); ++entry) {
        if (entry->second.deleted) {
            continue;
        }
        bytes += sizeInBytes(entry->second);
        if (bytes > maxBytes && !page.items.empty()) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(entry->second);
    }
    return page;
}

std::vector<FeedEvent> FeedReplica::items() const
{
    std::vector<FeedEvent> result;
    for (const auto &[key, entry] : this->entries) {
        if (!entry.deleted) {
            result.push_back(entry);
        }
    }
    return result;
}

}
