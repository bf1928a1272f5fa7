#include "forwarding/retrypolicy.h"

#include "forwarding/forwardingtimes.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// The quantile is what slow responses of healthy endpoints take. A slow endpoint that is alive can take a multiple.
constexpr double slowestQuantile = 0.99;
constexpr int implausibleMultiple = 4;
/// Endpoints pause for a good fraction of a second without being gone.
constexpr Duration minImplausibleLatency = std::chrono::seconds(1);
/// Once the objective cannot be reached, the wait leaves most of the remaining time for a repetition by the caller.
constexpr int remainingTimeDivisor = 3;
/// A refusal of a request that has not run is of most use within this fraction of the latency objective: the caller can
/// still be served on time elsewhere.
constexpr int notRunObjectiveDivisor = 4;

}

Duration implausibleLatency(const LatencyModel &latencies, const Route &route)
{
    const Duration slowest = latencies.quantile(route.name, slowestQuantile, route.latencyObjective);
    return std::max(implausibleMultiple * slowest, minImplausibleLatency);
}

Duration
retryBudgetWaitLimit(const AdmittedRequest &request, Duration typicalLatency, Execution execution, TimePoint now)
{
    const TimePoint arrivedAt = request.request->arrivedAt;
    const Duration objective = request.route->latencyObjective;
    const TimePoint latestOnTimeStart = arrivedAt + objective - callerRoundTrip - typicalLatency;
    Duration limit = latestOnTimeStart - now;
    if (limit <= Duration::zero()) {
        limit = (request.deadline - now) / remainingTimeDivisor;
    }
    // A retry that starts later cannot get a response before the deadline.
    limit = std::min(limit, request.deadline - callerRoundTrip - typicalLatency - now);
    if (execution == Execution::NotRun) {
        limit = std::min(limit, arrivedAt + objective / notRunObjectiveDivisor - now);
    }
    return std::max(limit, Duration::zero());
}

}
