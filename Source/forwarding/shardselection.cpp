#include "forwarding/shardselection.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/servicecall.h"

#include <algorithm>
#include <functional>

namespace Lycheewall
{

namespace
{

/// A shard is left out of some queries when the rate left for it is below this fraction of a full bucket.
constexpr double scarceFillLevel = 0.5;
/// Callers that are refused return within this time after the rate allows it, not all in the same moment.
constexpr Duration retrySpread = Milliseconds(200);

/// Shards whose endpoints have asked for fewer requests, by their index.
struct ThrottledShards
{
    /// Shards that take no request now, by the time until they do.
    std::multimap<Duration, std::size_t> exhausted;
    /// Shards that will soon take none, by their fill level.
    std::multimap<double, std::size_t> scarce;
};

ThrottledShards findThrottledShards(const EndpointChooser &chooser, const Route &route, TimePoint now)
{
    ThrottledShards result;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const ServiceThrottling throttling = chooser.throttling(route.shards[shard], now);
        if (throttling.waitTime > Duration::zero()) {
            result.exhausted.emplace(throttling.waitTime, shard);
        } else if (throttling.fillLevel < scarceFillLevel) {
            result.scarce.emplace(throttling.fillLevel, shard);
        }
    }
    return result;
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
    const std::size_t omittable = route.shards.size() - std::min(route.requiredShards(), route.shards.size());
    const ThrottledShards throttled = findThrottledShards(context.chooser, route, context.clock.now());
    ShardSelection selection;
    if (throttled.exhausted.size() > omittable) {
        const auto lastNeeded = std::next(throttled.exhausted.begin(),
                                          static_cast<std::ptrdiff_t>(throttled.exhausted.size() - omittable - 1));
        selection.retryAfter
            = lastNeeded->first + fromSeconds(context.random.uniformReal() * fractionalSeconds(retrySpread));
        return selection;
    }
    skipUpTo(omittable, throttled.exhausted, Refusal::EndpointThrottled, selection.skipped);
    skipUpTo(omittable, throttled.scarce, Refusal::EndpointThrottled, selection.skipped);
    skipUpTo(omittable, findLateShards(context, request), Refusal::QueueFull, selection.skipped);
    return selection;
}

}
