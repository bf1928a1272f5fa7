#include "forwarding/endpointchooser.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Extra cost of an endpoint in another availability zone: traffic between zones is billed to the users.
constexpr double crossZoneCostMs = 15;
/// Fraction of the typical latency by which a busy endpoint is taken to be slower even while it has free slots; scaled
/// by its load per slot.
constexpr double loadCostFraction = 0.1;
/// Cost of an endpoint that seems paused. It is added to the time by which its oldest request is stalled; the second
/// constant bounds the sum.
constexpr double stallBaseCostMs = 5;
constexpr double maxStallCostMs = 200;
/// Cost at a failure ratio of 1; scaled by the ratio of recent failures.
constexpr double failureCostMs = 200;
constexpr double ejectionCostMs = 10'000;
/// Endpoints respond more slowly while they are cold, before their statistics show it.
constexpr double coldLatencyFactor = 1.6;

/// Adds what a throttled endpoint takes to that of the other endpoints of its service.
void addCapacity(const ServiceEndpoint &endpoint, double share, TimePoint now, ServiceThrottling &throttling)
{
    const bool acceptsRequest = endpoint.acceptsRequest(share, now);
    if (!endpoint.rateLimit.isLimited()) {
        throttling.takenNow += acceptsRequest ? 1 : 0;
        throttling.takenAtMost += 1;
        return;
    }
    throttling.takenNow += acceptsRequest ? std::floor(endpoint.rateLimit.availableTokens(share, now)) : 0;
    throttling.takenAtMost += std::floor(endpoint.rateLimit.capacity(share));
    throttling.requestsPerSecond += endpoint.rateLimit.refillRate(share);
}

/// The endpoint with the lowest cost of those added.
struct LowestCost
{
    void add(const EndpointPtr &candidate, double candidateCost)
    {
        if (!this->endpoint || candidateCost < this->cost) {
            this->endpoint = candidate;
            this->cost = candidateCost;
        }
    }

    EndpointPtr endpoint;
    double cost = 0;
};

/// The work factor that is expected in the middle of a run that starts now; it stands for all of the run.
double workFactorOfRun(const ServiceEndpoint &endpoint, Duration typicalLatency, TimePoint now)
{
    return endpoint.stats.workFactor(now + typicalLatency / 2);
}

bool contains(const std::vector<EndpointId> &ids, const EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}

EndpointChooser::EndpointChooser(const EndpointSet &knownEndpoints, ZoneId ownZone, Random &randomNumbers)
    : endpoints(knownEndpoints)
    , zone(std::move(ownZone))
    , random(randomNumbers)
{
}

EndpointPtr EndpointChooser::choose(const EndpointCriteria &criteria, TimePoint now) const
{
    LowestCost best;
    LowestCost bestWithoutWorkFactors;
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(criteria.service)) {
        if (this->exclusion(*endpoint, criteria, now) != EndpointExclusion::None) {
            continue;
        }
        const EndpointCost cost = this->cost(*endpoint, criteria, now);
        const double endpointCost = cost.total() + tieBreakJitterMs * this->random.uniformReal();
        best.add(endpoint, endpointCost);
        bestWithoutWorkFactors.add(endpoint, endpointCost - cost.dueToWorkFactor);
    }
    if (best.endpoint != bestWithoutWorkFactors.endpoint) {
        this->endpoints.loadModel().countChangedChoice();
    }
    return best.endpoint;
}

EndpointExclusion
EndpointChooser::exclusion(const ServiceEndpoint &endpoint, const EndpointCriteria &criteria, TimePoint now) const
{
    const EndpointExclusion unavailability = endpoint.unavailability();
    if (unavailability != EndpointExclusion::None) {
        return unavailability;
    }
    if (contains(criteria.excluded, endpoint.record.id)) {
        return EndpointExclusion::AlreadyTried;
    }
    const double share = this->endpoints.rateLimitShare();
    const EndpointExclusion throttled = endpoint.throttleExclusion(share, now);
    if (throttled != EndpointExclusion::None) {
        return throttled;
    }
    return endpoint.fillLevel(share, now) < criteria.minFillLevel ? EndpointExclusion::LowFillLevel
                                                                  : EndpointExclusion::None;
}

double EndpointCost::total() const
{
    return this->latency + this->load + this->stall + this->failures + this->ejection + this->otherZone;
}

std::optional<Duration>
EndpointChooser::lowestEstimatedLatency(const ServiceId &service, Duration typicalLatency, TimePoint now) const
{
    std::optional<Duration> best;
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(service)) {
        if (!endpoint->isAvailable() || endpoint->stats.isEjected(now)) {
            continue;
        }
        const Duration latency = estimatedLatency(*endpoint, typicalLatency, now);
        best = best ? std::min(*best, latency) : latency;
    }
    return best;
}

Duration ServiceThrottling::waitTimeFor(double reserve) const
{
    const double required = std::min(1 + reserve * this->takenAtMost, this->takenAtMost);
    if (this->takenNow >= required || this->requestsPerSecond <= 0) {
        return this->waitTime;
    }
    return std::max(this->waitTime, fromSeconds((required - this->takenNow) / this->requestsPerSecond));
}

ServiceThrottling EndpointChooser::throttling(const ServiceId &service, TimePoint now) const
{
    const double share = this->endpoints.rateLimitShare();
    ServiceThrottling result;
    int availableCount = 0;
    double fillLevelSum = 0;
    Duration shortestWait = Duration::max();
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(service)) {
        if (!endpoint->isAvailable()) {
            continue;
        }
        if (!endpoint->isThrottled()) {
            return {};
        }
        ++availableCount;
        fillLevelSum += endpoint->fillLevel(share, now);
        shortestWait = std::min(shortestWait, endpoint->throttleWaitTime(share, now));
        addCapacity(*endpoint, share, now, result);
    }
    if (availableCount == 0) {
        return {};
    }
    result.isThrottled = true;
    result.waitTime = shortestWait;
    result.fillLevel = fillLevelSum / availableCount;
    return result;
}

bool EndpointChooser::hasHealthyLocalEndpoint(const ServiceId &service, TimePoint now) const
{
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(service)) {
        const bool isHealthy = !endpoint->stats.isSuspect(now) && !endpoint->stats.isEjected(now);
        if (endpoint->record.zone == this->zone && endpoint->isAvailable() && isHealthy) {
            return true;
        }
    }
    return false;
}

Duration EndpointChooser::nominalLatency(const ServiceEndpoint &endpoint, Duration typicalLatency, TimePoint now)
{
    const double warmupFactor = now < endpoint.coldUntil ? coldLatencyFactor : 1;
    const double load = endpoint.stats.inFlight() + endpoint.stats.estimatedRemoteInFlight(now);
    const double slots = std::max(1, endpoint.record.slots);
    const double queuedRatio = std::max(0.0, load + 1 - slots) / slots;
    const double workFactor = workFactorOfRun(endpoint, typicalLatency, now);
    return std::chrono::duration_cast<Duration>(typicalLatency * (warmupFactor * (1 + queuedRatio) * workFactor));
}

Duration EndpointChooser::estimatedLatency(const ServiceEndpoint &endpoint, Duration typicalLatency, TimePoint now)
{
    const double slowness = endpoint.stats.isSuspect(now) ? endpoint.stats.slowness() : 1;
    return std::chrono::duration_cast<Duration>(nominalLatency(endpoint, typicalLatency, now) * slowness);
}

EndpointCost
EndpointChooser::cost(const ServiceEndpoint &endpoint, const EndpointCriteria &criteria, TimePoint now) const
{
    const EndpointStats &stats = endpoint.stats;
    EndpointCost cost;
    cost.latency = fractionalMilliseconds(estimatedLatency(endpoint, criteria.typicalLatency, now));
    if (stats.reportsWorkFactor()) {
        cost.dueToWorkFactor = cost.latency * (1 - 1 / workFactorOfRun(endpoint, criteria.typicalLatency, now));
    }
    const double load = stats.inFlight() + stats.estimatedRemoteInFlight(now);
    cost.load = loadCostFraction * fractionalMilliseconds(criteria.typicalLatency) * load
        / std::max(1, endpoint.record.slots);
    const double stalledMs = fractionalMilliseconds(stats.stalledFor(now));
    if (stalledMs > 0) {
        cost.stall = std::min(stalledMs + stallBaseCostMs, maxStallCostMs);
    }
    cost.failures = failureCostMs * stats.failureRatio(now);
    if (stats.isEjected(now)) {
        cost.ejection = ejectionCostMs;
    }
    if (endpoint.record.zone != this->zone) {
        cost.otherZone = crossZoneCostMs;
    }
    return cost;
}

}
