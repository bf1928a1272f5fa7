#include "forwarding/shardselection.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/refusalreply.h"
#include "forwarding/servicecall.h"

#include <algorithm>
#include <functional>

namespace Lycheewall
{

namespace
{

/// A shard is left out of some queries when the rate left for it is below this fraction of a full bucket.
constexpr double scarceFillLevel = 0.75;

ThrottledServices findThrottledShards(const EndpointChooser &chooser, const Route &route, TimePoint now)
{
    ThrottledServices result;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const ServiceThrottling throttling = chooser.throttling(route.shards[shard], now);
        if (throttling.isThrottled) {
            result.emplace(shard, throttling);
        }
    }
    return result;
}

/// Shards that will soon take no request, by their fill level.
std::multimap<double, std::size_t> findScarce(const ThrottledServices &throttled)
{
    std::multimap<double, std::size_t> scarce;
    for (const auto &[shard, throttling] : throttled) {
        if (throttling.fillLevel < scarceFillLevel) {
            scarce.emplace(throttling.fillLevel, shard);
        }
    }
    return scarce;
}

/// Shards whose response would arrive after the objective, the latest first.
std::multimap<Duration, std::size_t, std::greater<>> findLateShards(const ForwardingContext &context,
                                                                    const AdmittedRequest &request)
{
    const Route &route = *request.route;
    const TimePoint now = context.clock.now();
    const Duration remaining = request.request->arrivedAt + route.latencyObjective - callerRoundTrip - now;
    const Duration typicalLatency = ServiceCall::typicalLatency(context, route);
    std::multimap<Duration, std::size_t, std::greater<>> late;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const auto latency = context.chooser.lowestEstimatedLatency(route.shards[shard], typicalLatency, now);
        if (latency && *latency > remaining) {
            late.emplace(*latency, shard);
        }
    }
    return late;
}

/// Adds shards to @p skipped in the order of @p candidates, until @p limit shards are skipped.
template<typename Candidates>
void skipUpTo(std::size_t limit, const Candidates &candidates, Refusal reason, SkippedShards &skipped)
{
    for (auto entry = candidates.begin(); entry != candidates.end() && skipped.size() < limit; ++entry) {
        skipped.emplace(entry->second, reason);
    }
}

}

ShardSelection selectShards(const ForwardingContext &context, const AdmittedRequest &request)
{
    const Route &route = *request.route;
    const TimePoint now = context.clock.now();
    const std::size_t omittable = route.shards.size() - std::min(route.requiredShards(), route.shards.size());
    ShardSelection selection;
    const ThrottledServices throttled = findThrottledShards(context.chooser, route, now);
    if (!throttled.empty()) {
        const ThrottledDecision decision = context.throttledAdmission.decide(request, throttled, omittable, now);
        if (decision.waitTime) {
            selection.retryAfter = spreadRetryAfter(*decision.waitTime, context.random);
            return selection;
        }
        skipUpTo(omittable, decision.exhausted, Refusal::EndpointThrottled, selection.skipped);
        skipUpTo(omittable, findScarce(throttled), Refusal::EndpointThrottled, selection.skipped);
    }
    skipUpTo(omittable, findLateShards(context, request), Refusal::QueueFull, selection.skipped);
    return selection;
}

}
