#include "forwarding/shardselection.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/refusalreply.h"
#include "forwarding/retrypolicy.h"
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
    const Duration typicalLatency = typicalAttemptLatency(context, route);
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

/// Selects the shards of a query. @p decide decides on the throttled ones, given their number that may be left out; it
/// is called only if there are any.
template<typename Decide>
ShardSelection
selectBy(const Decide &decide, const ForwardingContext &context, const AdmittedRequest &request, TimePoint now)
{
    const Route &route = *request.route;
    const std::size_t omittable = route.shards.size() - std::min(route.requiredShards(), route.shards.size());
    const ThrottledServices throttled = findThrottledShards(context.chooser, route, now);
    const ThrottledDecision decision = throttled.empty() ? ThrottledDecision() : decide(throttled, omittable);
    ShardSelection selection;
    if (decision.waitTime) {
        selection.retryAfter = decision.waitTime;
        return selection;
    }
    skipUpTo(omittable, decision.exhausted, Refusal::EndpointThrottled, selection.skipped);
    skipUpTo(omittable, findScarce(throttled), Refusal::EndpointThrottled, selection.skipped);
    skipUpTo(omittable, findLateShards(context, request), Refusal::QueueFull, selection.skipped);
    return selection;
}

}

ShardSelection selectShards(const ForwardingContext &context, const AdmittedRequest &request)
{
    const TimePoint now = context.clock.now();
    const auto decide = [&](const ThrottledServices &throttled, std::size_t omittable) {
        return context.throttledAdmission.decide(request, throttled, omittable, now);
    };
    ShardSelection selection = selectBy(decide, context, request, now);
    if (selection.retryAfter) {
        selection.retryAfter = spreadRetryAfter(*selection.retryAfter, context.random);
    }
    return selection;
}

ShardSelection peekShards(const ForwardingContext &context, const AdmittedRequest &request)
{
    const TimePoint now = context.clock.now();
    const auto peek = [&](const ThrottledServices &throttled, std::size_t omittable) {
        return context.throttledAdmission.peek(request, throttled, omittable, now);
    };
    return selectBy(peek, context, request, now);
}

std::vector<ServiceId>
relayableShards(const ForwardingContext &context, const AdmittedRequest &request, const SkippedShards &skipped)
{
    std::vector<ServiceId> relayable;
    // The relaying instance and this one share the route's maximum number of attempts.
    if (context.relay == nullptr || request.route->maxAttempts < 2) {
        return relayable;
    }
    const std::vector<ServiceId> &shards = request.route->shards;
    const TimePoint now = context.clock.now();
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        const bool hasLocalEndpoint = context.chooser.hasHealthyLocalEndpoint(shards[shard], now);
        // This instance has a share of its own of the rate that the endpoints take.
        const bool isThrottled = context.chooser.throttling(shards[shard], now).isThrottled;
        if (skipped.count(shard) == 0 && !hasLocalEndpoint && !isThrottled) {
            relayable.push_back(shards[shard]);
        }
    }
    return relayable;
}

}
