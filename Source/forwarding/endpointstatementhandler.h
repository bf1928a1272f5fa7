#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "forwarding/endpointset.h"
#include "forwarding/endpointstatement.h"

namespace Lycheewall
{

/**
 * Applies what endpoints say about themselves in their responses: rate limits, times without requests, and that they
 * shut down. Counts each statement and logs when its effect begins and ends.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointStatementHandler
{
public:
    EndpointStatementHandler(const Clock &clock, Counters &counters, Random &random);

    /// Applies a response to a request that was sent to @p endpoint at @p sentAt. @p hasRun is false if the endpoint
    /// has turned the request away.
    void apply(ServiceEndpoint &endpoint, const EndpointStatement &statement, TimePoint sentAt, bool hasRun);

private:
    void applyRateLimit(ServiceEndpoint &endpoint, const RateLimitStatement &statement, TimePoint sentAt);
    void applyRetryAfter(ServiceEndpoint &endpoint, Duration retryAfter);
    void applyServed(ServiceEndpoint &endpoint, TimePoint sentAt);
    void applyLeaving(ServiceEndpoint &endpoint);

    const Clock &clock;
    Counters &counters;
    Random &random;
};

}
