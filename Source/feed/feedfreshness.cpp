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
    this->latestConfirmed = this->confirmed ? std::max(this->latestConfirmed, time) : time;
    this->confirmed = true;
}

Duration FeedFreshness::age() const
{
    return this->confirmed ? this->clock.now() - this->latestConfirmed : Duration::max();
}

std::optional<TimePoint> FeedFreshness::confirmedUntil() const
{
    return this->confirmed ? std::optional(this->latestConfirmed) : std::nullopt;
}

}
