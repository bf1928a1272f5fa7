#include "forwarding/endpointratelimit.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Requests per second that an endpoint with a lower limit still gets from the whole fleet: without any, no response
/// could tell that the limit has ended.
constexpr double minRequestsPerSecond = 0.5;
/// A bucket holds the tokens of this time, at least one.
constexpr double burstSeconds = 0.5;

}

EndpointRateLimit::Change EndpointRateLimit::apply(const RateLimitStatement &statement, TimePoint sentAt, TimePoint now)
{
    if (statement.isMalformed) {
        return Change::None;
    }
    if (!statement.requestsPerSecond) {
        if (!this->limit || sentAt < this->namedAt) {
            return Change::None;
        }
        this->limit.reset();
        return Change::Ended;
    }
    const bool isNew = !this->limit;
    if (isNew) {
        // The requests in flight use up what the endpoint takes at first.
        this->tokens = 0;
        this->refilledAt = now;
    }
    this->limit = statement.requestsPerSecond;
    this->namedAt = now;
    return isNew ? Change::Began : Change::None;
}

bool EndpointRateLimit::isLimited() const
{
    return this->limit.has_value();
}

double EndpointRateLimit::requestsPerSecond() const
{
    return *this->limit;
}

double EndpointRateLimit::refillRate(double share) const
{
    return std::max(*this->limit, minRequestsPerSecond) * share;
}

double EndpointRateLimit::capacity(double share) const
{
    return std::max(1.0, burstSeconds * this->refillRate(share));
}

double EndpointRateLimit::availableTokens(double share, TimePoint now) const
{
    const double refilled = fractionalSeconds(now - this->refilledAt) * this->refillRate(share);
    return std::min(this->tokens + refilled, this->capacity(share));
}

bool EndpointRateLimit::canSend(double share, TimePoint now) const
{
    return !this->limit || this->availableTokens(share, now) >= 1;
}

double EndpointRateLimit::fillLevel(double share, TimePoint now) const
{
    return this->limit ? this->availableTokens(share, now) / this->capacity(share) : 1;
}

Duration EndpointRateLimit::waitTime(double share, TimePoint now) const
{
    if (this->canSend(share, now)) {
        return Duration::zero();
    }
    return fromSeconds((1 - this->availableTokens(share, now)) / this->refillRate(share));
}

void EndpointRateLimit::take(double share, TimePoint now)
{
    if (!this->limit) {
        return;
    }
    this->tokens = this->availableTokens(share, now) - 1;
    this->refilledAt = now;
}

}
