#include "admission/ratelimiter.h"

namespace Lycheewall
{

RateLimiter::RateLimiter(const Clock &timeSource,
                         const Ownership &leases,
                         Counters &counterRegistry,
                         HolderHint holderHint)
    : clock(timeSource)
    , ownership(leases)
    , counters(counterRegistry)
    , hint(std::move(holderHint))
{
}

void RateLimiter::setHolderHint(HolderHint holderHint)
{
    this->hint = std::move(holderHint);
}

void RateLimiter::setCatalogue(const std::shared_ptr<const Catalogue> &catalogue)
{
    this->setLimits(rateLimitsOf(*catalogue));
}

void RateLimiter::setLimits(RateLimits newLimits)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    for (auto &[organisation, bucket] : this->buckets) {
        const RateLimit before = this->limits[organisation];
        const auto entry = newLimits.find(organisation);
        const RateLimit after = entry == newLimits.end() ? RateLimit() : entry->second;
        if (!(before == after)) {
            bucket.setLimit(after, now);
        }
    }
    this->limits = std::move(newLimits);
}

TokenReply RateLimiter::refuse(const TokenRequest &request) const
{
    TokenReply reply;
    reply.id = request.id;
    reply.organisation = request.organisation;
    reply.reason = Refusal::NotOwner;
    if (this->hint) {
        reply.holder = this->hint(organisationResource(request.organisation)).value_or(InstanceId());
    }
    this->counters.counter("lycheewall_token_requests_total", "not-owner").add();
    return reply;
}

TokenReply RateLimiter::handle(const InstanceId &from, const TokenRequest &request)
{
    // Read before the lease is checked: tokens count as granted at a time when the lease was surely valid.
    const TimePoint now = this->clock.now();
    if (!this->ownership.owns(organisationResource(request.organisation))) {
        return this->refuse(request);
    }
    std::unique_lock lock(this->mutex);
    const auto found = this->buckets.find(request.organisation);
    if (found == this->buckets.end()) {
        lock.unlock();
        return this->refuse(request);
    }
    TokenBucket &bucket = found->second;
    TokenReply reply;
    reply.id = request.id;
    reply.organisation = request.organisation;
    reply.validMs = toMilliseconds(bucket.validity());
    if (request.returned > 0) {
        bucket.giveBack({ from, request.returnedBatch }, request.returned, now);
        this->counters.counter("lycheewall_tokens_returned_total").add(request.returned);
    }
    if (request.wanted == 0) {
        return reply;
    }
    reply.granted = bucket.take({ from, request.id }, request.wanted, now);
    if (reply.granted < request.wanted) {
        reply.retryAfterMs = toMilliseconds(bucket.untilNext(now)) + 1;
    }
    reply.reason = reply.granted == 0 ? Refusal::RateExceeded : Refusal::None;
    this->counters.counter("lycheewall_tokens_granted_total").add(reply.granted);
    this->counters.counter("lycheewall_token_requests_total", refusalCode(reply.reason)).add();
    return reply;
}

void RateLimiter::gained(const OrganisationId &organisation)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    const auto entry = this->limits.find(organisation);
    const RateLimit limit = entry == this->limits.end() ? RateLimit() : entry->second;
    this->buckets.insert_or_assign(organisation, TokenBucket(limit, now));
}

void RateLimiter::lost(const OrganisationId &organisation)
{
    const std::lock_guard lock(this->mutex);
    this->buckets.erase(organisation);
}

Duration RateLimiter::validity(const OrganisationId &organisation) const
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->limits.find(organisation);
    return TokenBucket::validityOf(entry == this->limits.end() ? RateLimit() : entry->second);
}

}
