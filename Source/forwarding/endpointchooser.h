#pragma once

#include "core/random.h"
#include "forwarding/endpointset.h"

#include <optional>

namespace Lycheewall
{

/// What an attempt asks of the chooser.
struct EndpointCriteria
{
    ServiceId service;
    /// Usual time of such a request. Precondition: > 0.
    Duration typicalLatency {};
    /// Endpoints that the request was sent to before.
    std::vector<EndpointId> excluded;
};

/**
 * Chooses the endpoint with the lowest expected cost: usual latency, own and reported load, a stalled request in
 * flight, failures, and an allowance for another availability zone.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointChooser
{
public:
    /// @p zone is the availability zone of this instance.
    EndpointChooser(const EndpointSet &endpoints, ZoneId zone, Random &random);

    /// nullptr when no endpoint of the service takes work. Avoided endpoints are chosen only when nothing else is left.
    EndpointPtr choose(const EndpointCriteria &request, TimePoint now) const;

    /// Shortest time that a request should take at an endpoint of the service, slowness included; nothing when no
    /// endpoint takes work.
    std::optional<Duration> lowestEstimatedLatency(const ServiceId &service, Duration usual, TimePoint now) const;

    /// True when the service has an endpoint in this zone that takes work and is neither suspect nor avoided.
    bool hasHealthyLocalEndpoint(const ServiceId &service, TimePoint now) const;

    /// Time that a request should take at @p endpoint with the load as known, if the endpoint is not slow.
    static Duration nominalLatency(const ServiceEndpoint &endpoint, Duration usual, TimePoint now);

    /// As nominalLatency(), with the slowness of a suspect endpoint.
    static Duration estimatedLatency(const ServiceEndpoint &endpoint, Duration usual, TimePoint now);

private:
    double cost(const ServiceEndpoint &endpoint, const EndpointCriteria &request, TimePoint now) const;

    const EndpointSet &endpoints;
    ZoneId zone;
    Random &random;
};

}
