#pragma once

#include "core/clock.h"

#include <optional>

namespace Lycheewall
{

/// What one response of an endpoint says about the rate of requests that the endpoint takes from the whole fleet.
struct RateLimitStatement
{
    /// std::nullopt if the response names no limit.
    std::optional<double> requestsPerSecond;
    /// True if the response names a limit that is not a number; it says nothing then.
    bool isMalformed = false;
};

/**
 * The rate limit that an endpoint has named, and a token bucket with this instance's share of it. Each instance learns
 * the limit from its own responses and takes only its share, so the fleet keeps the limit without any messages.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointRateLimit
{
public:
    enum class Change { None, Began, Ended };

    /// Applies a response to a request that was sent at @p sentAt. A response without a limit ends the limit, unless
    /// the endpoint has named one since the request was sent.
    Change apply(const RateLimitStatement &statement, TimePoint sentAt, TimePoint now);

    /// True while the endpoint names a limit.
    bool isLimited() const;

    /// The limit of the endpoint over the whole fleet, in requests per second. Precondition: isLimited().
    double requestsPerSecond() const;

    /// True if a request may be sent now. @p share is this instance's share of the limit, above 0 and at most 1.
    bool canSend(double share, TimePoint now) const;

    /// Tokens available now, relative to a full bucket; 1 without a limit.
    double fillLevel(double share, TimePoint now) const;

    /// Time until canSend() becomes true if nothing is sent.
    Duration waitTime(double share, TimePoint now) const;

    /// Takes a token for a request that is sent now. Without a limit, nothing is counted.
    void take(double share, TimePoint now);

    /// Tokens available now; a request takes one. Precondition: isLimited().
    double availableTokens(double share, TimePoint now) const;

    /// Tokens of a full bucket. Precondition: isLimited().
    double capacity(double share) const;

    /// Tokens per second. Precondition: isLimited().
    double refillRate(double share) const;

private:
    std::optional<double> limit;
    TimePoint namedAt;
    double tokens = 0;
    TimePoint refilledAt;
};

}
