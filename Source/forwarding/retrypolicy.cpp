#include "forwarding/retrypolicy.h"

#include "forwarding/forwardingtimes.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// The typical latency is the median; without measurements, the latency objective divided by the divisor is used.
constexpr double typicalQuantile = 0.5;
constexpr int fallbackObjectiveDivisor = 8;
/// A hedge is not sent before the time within which this fraction of the responses arrives.
constexpr double earliestHedgeQuantile = 0.9;
/// A hedge is timed so that this fraction of the responses to it would arrive before the latency objective.
constexpr double hedgeResponseQuantile = 0.95;
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

Duration typicalAttemptLatency(const ForwardingContext &context, const Route &route)
{
    return context.latencies.quantile(route.name, typicalQuantile, route.latencyObjective / fallbackObjectiveDivisor);
}

Duration hedgeDelay(const ForwardingContext &context, const AdmittedRequest &request)
{
    const Route &route = *request.route;
    const Duration fallback = route.latencyObjective / fallbackObjectiveDivisor;
    const Duration earliest = context.latencies.quantile(route.name, earliestHedgeQuantile, 2 * fallback);
    const Duration responseTime = context.latencies.quantile(route.name, hedgeResponseQuantile, 2 * fallback);
    const Duration elapsed = context.clock.now() - request.request->arrivedAt;
    const Duration latest = route.latencyObjective - callerRoundTrip - elapsed - 2 * responseTime;
    return std::max(earliest, latest);
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
