#include "feed/feedfreshness.h"

#include <algorithm>

namespace Lycheewall
{

FeedFreshness::FeedFreshness(const Clock &feedClock)
    : clock(feedClock)
{
}

void FeedFreshness::confirm(TimePoint moment)
{
    this->latest = this->confirmed ? std::max(this->latest, moment) : moment;
    this->confirmed = true;
}

Duration FeedFreshness::age() const
{
    return this->confirmed ? this->clock.now() - this->latest : Duration::max();
}

std::optional<TimePoint> FeedFreshness::confirmedUntil() const
{
    return this->confirmed ? std::optional(this->latest) : std::nullopt;
}

}
