#include "admission/naiveratelimiter.h"

#include <algorithm>

namespace Lycheewall
{

NaiveRateLimiter::NaiveRateLimiter(const Clock &timeSource, const PeerTable &peerTable, Counters &counterRegistry)
    : clock(timeSource)
    , peers(peerTable)
    , counters(counterRegistry)
{
}

void NaiveRateLimiter::setCatalogue(const std::shared_ptr<const Catalogue> &catalogue)
{
    this->setLimits(rateLimitsOf(*catalogue));
}

void NaiveRateLimiter::setLimits(RateLimits newLimits)
{
    const std::lock_guard lock(this->mutex);
    this->limits = std::move(newLimits);
}

double NaiveRateLimiter::liveInstances() const
{
    double live = 1;
    for (const InstanceId &peer : this->peers.peers()) {
        live += this->peers.health(peer) == PeerHealth::Alive ? 1 : 0;
    }
    return live;
}

void NaiveRateLimiter::acquire(const OrganisationId &organisation, Duration, Callback callback)
{
    const double share = 1 / this->liveInstances();
    const TimePoint now = this->clock.now();
    bool admitted = false;
    Duration retryAfter = std::chrono::seconds(1);
    {
        const std::lock_guard lock(this->mutex);
        const RateLimit limit = this->limits[organisation];
        const double depth = std::max(1.0, limit.burst * share);
        const double rate = limit.rate * share;
        Level &level = this->levels.try_emplace(organisation, Level { depth, now }).first->second;
        const std::chrono::duration<double> passed = now - level.updated;
        level.tokens = std::min(depth, level.tokens + rate * passed.count());
        level.updated = now;
        admitted = level.tokens >= 1;
        if (admitted) {
            level.tokens -= 1;
        } else if (rate > 0) {
            const std::chrono::duration<double> wait((1 - level.tokens) / rate);
            retryAfter = std::chrono::duration_cast<Duration>(wait);
        }
    }
    if (admitted) {
        callback(Refusal::None, Duration::zero());
        return;
    }
    this->counters.counter("lycheewall_token_refusals_total", refusalCode(Refusal::RateExceeded)).add();
    callback(Refusal::RateExceeded, retryAfter);
}

}
