#include "forwarding/shardselection.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/servicecall.h"

#include <algorithm>
#include <functional>
#include <map>

namespace Lycheewall
{

namespace
{

/// Tolerates rounding errors when shard ratios are compared.
constexpr double ratioTolerance = 1e-9;
/// A shard is left out of some queries when the rate left for it is below this fraction of a full bucket.
constexpr double scarceFillLevel = 0.5;
/// Callers that are refused return within this time after the rate allows it, not all in the same moment.
constexpr Duration retrySpread = Milliseconds(200);

/// Number of shards that a reply may leave out.
std::size_t omittableShards(const Route &route)
{
    const auto shardTotal = static_cast<double>(route.shards.size());
    return static_cast<std::size_t>((1 - route.minShardRatio) * shardTotal + ratioTolerance);
}

/// Shards without a token, by the time until the next one.
std::multimap<Duration, std::size_t> exhaustedShards(const EndpointChooser &chooser, const Route &route, TimePoint now)
{
    std::multimap<Duration, std::size_t> exhausted;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const Duration wait = chooser.throttleWaitTime(route.shards[shard], now);
        if (wait > Duration::zero()) {
            exhausted.emplace(wait, shard);
        }
    }
    return exhausted;
}

/// Adds shards to @p skipped in the order of @p candidates, until @p limit shards are skipped.
template<typename Candidates>
void skipUpTo(std::size_t limit, const Candidates &candidates, std::set<std::size_t> &skipped)
{
    for (auto entry = candidates.begin(); entry != candidates.end() && skipped.size() < limit; ++entry) {
        skipped.insert(entry->second);
    }
}

std::multimap<double, std::size_t> scarceShards(const EndpointChooser &chooser, const Route &route, TimePoint now)
{
    std::multimap<double, std::size_t> scarce;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const double level = chooser.throttleFillLevel(route.shards[shard], now);
        if (level < scarceFillLevel) {
            scarce.emplace(level, shard);
        }
    }
    return scarce;
}

/// Shards whose response would arrive after the objective, the latest first.
std::multimap<Duration, std::size_t, std::greater<>> lateShards(const ForwardingContext &context,
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

}

ShardSelection selectShards(const ForwardingContext &context, const AdmittedRequest &request)
{
    const Route &route = *request.route;
    const TimePoint now = context.clock.now();
    const std::size_t omittable = omittableShards(route);
    ShardSelection selection;
    const auto exhausted = exhaustedShards(context.chooser, route, now);
    if (exhausted.size() > omittable) {
        const auto lastNeeded
            = std::next(exhausted.begin(), static_cast<std::ptrdiff_t>(exhausted.size() - omittable - 1));
        selection.retryAfter
            = lastNeeded->first + fromSeconds(context.random.uniformReal() * fractionalSeconds(retrySpread));
        return selection;
    }
    skipUpTo(omittable, exhausted, selection.skipped);
    skipUpTo(omittable, scarceShards(context.chooser, route, now), selection.skipped);
    skipUpTo(omittable, lateShards(context, request), selection.skipped);
    return selection;
}

}
