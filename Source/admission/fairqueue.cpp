#include "admission/fairqueue.h"

#include <algorithm>

namespace Lycheewall
{

FairQueue::FairQueue(std::size_t bound)
    : bound(bound)
{
}

std::optional<std::uint64_t> FairQueue::push(const QueueEntry &entry)
{
    std::optional<std::uint64_t> dropped;
    if (this->byId.size() >= this->bound) {
        dropped = this->makeRoom(entry);
        if (!dropped) {
            return entry.id;
        }
    }
    this->lineOf(entry).entries.push_back(entry);
    this->byId.emplace(entry.id, entry);
    this->byDeadline.emplace(entry.deadline, entry.id);
    return dropped;
}

void FairQueue::pushFront(const QueueEntry &entry)
{
    this->lineOf(entry).entries.push_front(entry);
    this->byId.emplace(entry.id, entry);
    this->byDeadline.emplace(entry.deadline, entry.id);
}

std::optional<QueueEntry> FairQueue::take(const std::function<bool(const QueueEntry &)> &ready)
{
    for (Ring &ring : this->rings) {
        for (auto line = ring.begin(); line != ring.end(); ++line) {
            const auto found = std::find_if(line->entries.begin(), line->entries.end(), ready);
            if (found == line->entries.end()) {
                continue;
            }
            const QueueEntry entry = *found;
            line->entries.erase(found);
            this->erase(entry);
            // The organisation's next turn comes after everybody else's.
            ring.splice(ring.end(), ring, line);
            if (line->entries.empty()) {
                ring.erase(line);
            }
            return entry;
        }
    }
    return std::nullopt;
}

bool FairQueue::remove(std::uint64_t id)
{
    const auto known = this->byId.find(id);
    if (known == this->byId.end()) {
        return false;
    }
    const QueueEntry entry = known->second;
    Ring &ring = this->rings.at(static_cast<std::size_t>(entry.workClass));
    const auto line = std::find_if(
        ring.begin(), ring.end(), [&](const Line &each) { return each.organisation == entry.organisation; });
    const auto place = std::find_if(
        line->entries.begin(), line->entries.end(), [&](const QueueEntry &each) { return each.id == id; });
    line->entries.erase(place);
    if (line->entries.empty()) {
        ring.erase(line);
    }
    this->erase(entry);
    return true;
}

std::vector<QueueEntry> FairQueue::takeDueBefore(TimePoint limit)
{
    std::vector<QueueEntry> taken;
    while (!this->byDeadline.empty() && this->byDeadline.begin()->first < limit) {
        const std::uint64_t id = this->byDeadline.begin()->second;
        taken.push_back(this->byId.at(id));
        this->remove(id);
    }
    return taken;
}

std::vector<QueueEntry> FairQueue::takeAll()
{
    std::vector<QueueEntry> taken;
    for (const auto &[id, entry] : this->byId) {
        taken.push_back(entry);
    }
    for (Ring &ring : this->rings) {
        ring.clear();
    }
    this->byId.clear();
    this->byDeadline.clear();
    return taken;
}

std::optional<TimePoint> FairQueue::earliestDeadline() const
{
    if (this->byDeadline.empty()) {
        return std::nullopt;
    }
    return this->byDeadline.begin()->first;
}

std::size_t FairQueue::size() const
{
    return this->byId.size();
}

bool FairQueue::empty() const
{
    return this->byId.empty();
}

FairQueue::Line &FairQueue::lineOf(const QueueEntry &entry)
{
    Ring &ring = this->rings.at(static_cast<std::size_t>(entry.workClass));
    const auto line = std::find_if(
        ring.begin(), ring.end(), [&](const Line &each) { return each.organisation == entry.organisation; });
    if (line != ring.end()) {
        return *line;
    }
    ring.push_back(Line { entry.organisation, {} });
    return ring.back();
}

std::optional<std::uint64_t> FairQueue::makeRoom(const QueueEntry &entry)
{
    const auto ownClass = static_cast<std::size_t>(entry.workClass);
    const auto shorter = [](const Line &left, const Line &right) {
        return left.entries.size() < right.entries.size();
    };
    for (std::size_t lower = this->rings.size() - 1; lower > ownClass; --lower) {
        Ring &ring = this->rings.at(lower);
        if (!ring.empty()) {
            return this->dropLastOf(ring, std::max_element(ring.begin(), ring.end(), shorter));
        }
    }
    Ring &ring = this->rings.at(ownClass);
    const auto longest = std::max_element(ring.begin(), ring.end(), shorter);
    if (longest == ring.end()) {
        return std::nullopt;
    }
    const auto own = std::find_if(
        ring.begin(), ring.end(), [&](const Line &each) { return each.organisation == entry.organisation; });
    const std::size_t ownLength = own == ring.end() ? 0 : own->entries.size();
    if (longest->entries.size() <= ownLength + 1) {
        return std::nullopt;
    }
    return this->dropLastOf(ring, longest);
}

std::uint64_t FairQueue::dropLastOf(Ring &ring, Ring::iterator line)
{
    const QueueEntry last = line->entries.back();
    line->entries.pop_back();
    if (line->entries.empty()) {
        ring.erase(line);
    }
    this->erase(last);
    return last.id;
}

void FairQueue::erase(const QueueEntry &entry)
{
    this->byDeadline.erase({ entry.deadline, entry.id });
    this->byId.erase(entry.id);
}

}
