#pragma once

#include "forwarding/forwardingcontext.h"

namespace Lycheewall
{

/// Median latency of the route's requests at endpoints; without measurements, a fixed fraction of the latency
/// objective.
Duration typicalAttemptLatency(const ForwardingContext &context, const Route &route);

/// Time after which a request whose first attempt starts now is hedged.
Duration hedgeDelay(const ForwardingContext &context, const AdmittedRequest &request);

/// Time after which the lack of a response is implausible for the route: the endpoint is probably gone, or stalled for
/// long. Learned from the latencies of the route's responses.
Duration implausibleLatency(const LatencyModel &latencies, const Route &route);

/// How long a failed request may wait for the retry budget without making the caller's result worse: until its retry
/// would miss the latency objective or, once that cannot be reached any more, for a fraction of the remaining time. The
/// retry can always get a response before the deadline. A caller that gets the failure instead can repeat the request
/// itself. @p typicalLatency is that of one attempt. A request with Execution::NotRun waits for less, as its caller
/// gets the promise that it can be repeated.
Duration
retryBudgetWaitLimit(const AdmittedRequest &request, Duration typicalLatency, Execution execution, TimePoint now);

}
