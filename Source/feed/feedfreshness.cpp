#include "feed/feedfreshness.h"

#include <algorithm>

namespace Lycheewall
{

FeedFreshness::FeedFreshness(const Clock &feedClock)
    : clock(feedClock)
{
}

void FeedFreshness::confirm(TimePoint time)
{
    this->latestConfirmed = std::max(this->latestConfirmed.value_or(time), time);
    if (!this->completeFrom || time >= *this->completeFrom) {
        this->latestComplete = std::max(this->latestComplete.value_or(time), time);
    }
}

void FeedFreshness::storeRestored(TimePoint rewrittenAt)
{
    this->completeFrom = rewrittenAt;
}

void FeedFreshness::copyListed(TimePoint rewrittenAt)
{
    this->latestComplete.reset();
    this->completeFrom = rewrittenAt;
}

void FeedFreshness::copyIsComplete()
{
    this->completeFrom.reset();
    this->latestComplete = this->latestConfirmed;
}

Duration FeedFreshness::age() const
{
    return this->timeSince(this->latestComplete);
}

Duration FeedFreshness::replicaAge() const
{
    return this->timeSince(this->latestConfirmed);
}

Duration FeedFreshness::timeSince(const std::optional<TimePoint> &time) const
{
    return time ? this->clock.now() - *time : Duration::max();
}

std::optional<TimePoint> FeedFreshness::confirmedUntil() const
{
    return this->latestConfirmed;
}

}
