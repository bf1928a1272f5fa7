#include "admission/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

TokenBucket::TokenBucket(RateLimit newLimit, TimePoint now)
    : updated(now)
{
    this->applyLimit(newLimit);
}

Duration TokenBucket::validityOf(const RateLimit &limit)
{
    if (limit.rate <= 0) {
        return longestValidity;
    }
    const double longest = fractionalSeconds(longestValidity);
    const double allowed = std::min(longest, limit.burst / (2 * limit.rate));
    return fromSeconds(allowed);
}

void TokenBucket::applyLimit(const RateLimit &newLimit)
{
    this->limit = newLimit;
    this->batchValidity = validityOf(newLimit);
    const double usedLate = std::max(0.0, newLimit.rate) * fractionalSeconds(this->batchValidity);
    this->capacity = newLimit.burst - usedLate;
    this->cost = 1;
    if (this->capacity < 1 && newLimit.burst >= 1) {
        // A bucket below one token would never grant. With one token of depth, the late use is paid for in advance.
        this->capacity = 1;
        this->cost = 1 + usedLate;
    }
}

void TokenBucket::setLimit(RateLimit newLimit, TimePoint now)
{
    this->refill(now);
    this->applyLimit(newLimit);
    this->level = std::min(this->level, this->capacity);
    // What the level would be without a batch taken under the old limit is not tracked, so such batches earn no credit.
    this->batches.clear();
    this->order.clear();
    this->peaks.clear();
}

void TokenBucket::refill(TimePoint now)
{
    if (now > this->updated) {
        const double grown = this->level + std::max(0.0, this->limit.rate) * fractionalSeconds(now - this->updated);
        this->level = std::min(this->capacity, grown);
        this->updated = now;
    }
}

void TokenBucket::recordPeak()
{
    if (this->batches.empty()) {
        this->peaks.clear();
        this->credits = 0;
        return;
    }
    const double raw = this->level - this->credits;
    while (!this->peaks.empty() && this->peaks.back().level <= raw) {
        this->peaks.pop_back();
    }
    this->peaks.push_back({ ++this->lastSequence, raw });
}

double TokenBucket::highestSince(const Batch &batch) const
{
    const auto first = std::partition_point(
        this->peaks.begin(), this->peaks.end(), [&](const Peak &peak) { return peak.sequence <= batch.sequence; });
    const double raw = first == this->peaks.end() ? this->level - this->credits : first->level;
    return raw + this->credits;
}

void TokenBucket::prune(TimePoint now)
{
    while (!this->order.empty()) {
        const auto oldest = this->batches.find(this->order.front());
        if (oldest != this->batches.end()) {
            if (now - oldest->second.taken < returnWindow) {
                break;
            }
            this->batches.erase(oldest);
        }
        this->order.pop_front();
    }
    const std::uint64_t needed = this->order.empty() ? this->lastSequence : this->batches[this->order.front()].sequence;
    while (!this->peaks.empty() && this->peaks.front().sequence <= needed) {
        this->peaks.pop_front();
    }
}

std::uint32_t TokenBucket::take(const BatchKey &batch, std::uint32_t wanted, TimePoint now)
{
    this->refill(now);
    this->prune(now);
    this->recordPeak();
    if (this->level < 1 || wanted == 0) {
        return 0;
    }
    const double affordable = 1 + std::floor((this->level - 1) / this->cost);
    const auto taken = static_cast<std::uint32_t>(std::min<double>(wanted, affordable));
    this->level -= taken * this->cost;
    const bool inserted = this->batches.emplace(batch, Batch { taken, this->updated, this->lastSequence }).second;
    if (inserted) {
        this->order.push_back(batch);
    }
    return taken;
}

double TokenBucket::giveBack(const BatchKey &batch, std::uint32_t count, TimePoint now)
{
    this->refill(now);
    this->prune(now);
    this->recordPeak();
    const auto found = this->batches.find(batch);
    if (found == this->batches.end()) {
        return 0;
    }
    const double returned = std::min(count, found->second.count) * this->cost;
    const double room = this->capacity - this->highestSince(found->second);
    const double credit = std::clamp(room, 0.0, returned);
    this->batches.erase(found);
    this->level += credit;
    this->credits += credit;
    return credit;
}

Duration TokenBucket::untilNext(TimePoint now)
{
    this->refill(now);
    if (this->level >= 1) {
        return Duration::zero();
    }
    if (this->limit.rate <= 0 || this->limit.burst < 1) {
        return std::chrono::seconds(1);
    }
    const std::chrono::duration<double> wait((1 - this->level) / this->limit.rate);
    return std::chrono::duration_cast<Duration>(wait) + Duration(1);
}

Duration TokenBucket::validity() const
{
    return this->batchValidity;
}

double TokenBucket::depth() const
{
    return this->capacity;
}

}
