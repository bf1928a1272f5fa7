#include "forwarding/endpointchooser.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Extra cost of another availability zone; bytes between zones cost the users money.
constexpr double otherZoneMs = 15;
/// Part of the usual time that a busy but not full endpoint is taken to be slower by.
constexpr double loadShare = 0.1;
/// Cost of an endpoint that seems paused, beside the time for which it has.
constexpr double stallMs = 5;
constexpr double greatestStallMs = 200;
/// Cost of a certain failure, scaled by the share of recent failures.
constexpr double failureMs = 200;
constexpr double avoidedMs = 10'000;
/// Cold endpoints answer more slowly than their statistics say yet.
constexpr double coldFactor = 1.6;
/// Breaks ties between equal endpoints.
constexpr double jitterMs = 0.5;

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

EndpointPtr EndpointChooser::choose(const EndpointCriteria &request, TimePoint now) const
{
    EndpointPtr best;
    double bestCost = 0;
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(request.service)) {
        if (!this->endpoints.isAvailable(*endpoint) || contains(request.excluded, endpoint->record.id)) {
            continue;
        }
        const double current = this->cost(*endpoint, request, now) + jitterMs * this->random.uniformReal();
        if (!best || current < bestCost) {
            best = endpoint;
            bestCost = current;
        }
    }
    return best;
}

std::optional<Duration>
EndpointChooser::lowestEstimatedLatency(const ServiceId &service, Duration usual, TimePoint now) const
{
    std::optional<Duration> best;
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(service)) {
        if (!this->endpoints.isAvailable(*endpoint) || endpoint->stats.isEjected(now)) {
            continue;
        }
        const Duration time = estimatedLatency(*endpoint, usual, now);
        best = best ? std::min(*best, time) : time;
    }
    return best;
}

bool EndpointChooser::hasHealthyLocalEndpoint(const ServiceId &service, TimePoint now) const
{
    for (const EndpointPtr &endpoint : this->endpoints.endpointsOf(service)) {
        const bool isSound = !endpoint->stats.isSuspect(now) && !endpoint->stats.isEjected(now);
        if (endpoint->record.zone == this->zone && this->endpoints.isAvailable(*endpoint) && isSound) {
            return true;
        }
    }
    return false;
}

Duration EndpointChooser::nominalLatency(const ServiceEndpoint &endpoint, Duration usual, TimePoint now)
{
    const double cold = now < endpoint.coldUntil ? coldFactor : 1;
    const double load = endpoint.stats.inFlight() + endpoint.stats.estimatedRemoteInFlight(now);
    const double slots = std::max(1, endpoint.record.slots);
    const double queued = std::max(0.0, load + 1 - slots) / slots;
    return std::chrono::duration_cast<Duration>(usual * (cold * (1 + queued)));
}

Duration EndpointChooser::estimatedLatency(const ServiceEndpoint &endpoint, Duration usual, TimePoint now)
{
    const double slowness = endpoint.stats.isSuspect(now) ? endpoint.stats.slowness() : 1;
    return std::chrono::duration_cast<Duration>(nominalLatency(endpoint, usual, now) * slowness);
}

double EndpointChooser::cost(const ServiceEndpoint &endpoint, const EndpointCriteria &request, TimePoint now) const
{
    const EndpointStats &stats = endpoint.stats;
    double total = fractionalMilliseconds(estimatedLatency(endpoint, request.typicalLatency, now));
    const double load = stats.inFlight() + stats.estimatedRemoteInFlight(now);
    total += loadShare * fractionalMilliseconds(request.typicalLatency) * load / std::max(1, endpoint.record.slots);
    const double stalled = fractionalMilliseconds(stats.stalledFor(now));
    if (stalled > 0) {
        total += std::min(stalled + stallMs, greatestStallMs);
    }
    total += failureMs * stats.failureRatio(now);
    if (stats.isEjected(now)) {
        total += avoidedMs;
    }
    if (endpoint.record.zone != this->zone) {
        total += otherZoneMs;
    }
    return total;
}

}
