#include "configuration/freshness.h"

#include <algorithm>
#include <functional>

namespace Lycheewall
{

namespace
{

void raise(std::optional<TimePoint> &latest, TimePoint moment)
{
    if (!latest || *latest < moment) {
        latest = moment;
    }
}

}

Freshness::Freshness(const Clock &timeSource, Duration greatestAge)
    : clock(timeSource)
    , limit(greatestAge)
{
}

void Freshness::platformRead()
{
    this->platformRead(this->clock.now());
}

void Freshness::platformRead(TimePoint moment)
{
    const std::lock_guard lock(this->mutex);
    raise(this->lastRead, moment);
}

void Freshness::setMembers(const std::vector<InstanceId> &others, bool selfListed)
{
    const std::lock_guard lock(this->mutex);
    std::map<InstanceId, std::optional<TimePoint>> next;
    for (const InstanceId &instance : others) {
        const auto known = this->members.find(instance);
        next.emplace(instance, known == this->members.end() ? std::nullopt : known->second);
    }
    this->members = std::move(next);
    this->selfCounts = selfListed;
    this->majorityUntil = TimePoint::min();
    this->evidenceChanged = true;
}

void Freshness::heard(const InstanceId &instance)
{
    this->heard(instance, this->clock.now());
}

void Freshness::heard(const InstanceId &instance, TimePoint moment)
{
    const std::lock_guard lock(this->mutex);
    const auto member = this->members.find(instance);
    if (member != this->members.end()) {
        raise(member->second, moment);
        this->evidenceChanged = true;
    }
}

bool Freshness::cutOff() const
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.now();
    const bool platformFresh = this->lastRead && now - *this->lastRead < this->limit;
    return !platformFresh && !this->majorityAt(now);
}

bool Freshness::majorityHeard() const
{
    const std::lock_guard lock(this->mutex);
    return this->majorityAt(this->clock.now());
}

bool Freshness::majorityAt(TimePoint now) const
{
    if (now >= this->majorityUntil && this->evidenceChanged) {
        this->majorityUntil = this->majorityEnd();
        this->evidenceChanged = false;
    }
    return now < this->majorityUntil;
}

TimePoint Freshness::majorityEnd() const
{
    const std::size_t self = this->selfCounts ? 1 : 0;
    const std::size_t needed = (this->members.size() + self) / 2 + 1 - self;
    if (this->members.empty()) {
        return self == 1 ? TimePoint::max() : TimePoint::min();
    }
    std::vector<TimePoint> moments;
    for (const auto &[instance, moment] : this->members) {
        if (moment) {
            moments.push_back(*moment);
        }
    }
    if (moments.size() < needed) {
        return TimePoint::min();
    }
    const auto last = moments.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(moments.begin(), last, moments.end(), std::greater<>());
    return *last + this->limit;
}

Duration Freshness::platformAge() const
{
    const std::lock_guard lock(this->mutex);
    return this->lastRead ? this->clock.now() - *this->lastRead : Duration::max();
}

}
