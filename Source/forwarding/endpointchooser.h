#pragma once

#include "core/random.h"
#include "forwarding/endpointset.h"

#include <optional>

namespace Lycheewall
{

/// Criteria by which EndpointChooser selects an endpoint for one attempt.
struct EndpointCriteria
{
    ServiceId service;
    /// Typical latency of such a request. Precondition: > 0.
    Duration typicalLatency {};
    /// Endpoints that earlier attempts of the request were sent to.
    std::vector<EndpointId> excluded;
    /// Fill level (see ServiceEndpoint::fillLevel()) that an endpoint must have.
    double minFillLevel = 0;
};

/// How far the endpoints of a service have asked for fewer requests.
struct ServiceThrottling
{
    /// True if all available endpoints have asked for fewer requests, and at least one is available.
    bool isThrottled = false;
    /// If throttled: the time until an endpoint takes another request of this instance; zero if one takes it now.
    Duration waitTime {};
    /// If throttled: mean fill level (see ServiceEndpoint::fillLevel()) of the available endpoints; otherwise 1.
    double fillLevel = 1;
    /// If throttled: requests that the endpoints together take now, and at most, at the same time.
    double takenNow = 0;
    double takenAtMost = 0;
    /// If throttled: requests per second of all rate limits together.
    double requestsPerSecond = 0;

    /// Time until a request is taken that has to leave @p reserve, a fraction of takenAtMost, to others; zero if it is
    /// taken now. At full buckets, a request is always taken.
    Duration waitTimeFor(double reserve) const;
};

/// The estimated cost of sending a request to an endpoint, in milliseconds of latency, by what it is due to.
struct EndpointCost
{
    /// The estimated latency.
    double latency = 0;
    double load = 0;
    /// Requests in flight that are stalled.
    double stall = 0;
    double failures = 0;
    double ejection = 0;
    double otherZone = 0;
    /// The part of the latency that is due to the work factor; negative for a fast endpoint.
    double dueToWorkFactor = 0;

    double total() const;
};

/**
 * Selects the endpoint with the lowest estimated cost. The cost adds up the estimated latency, the load (own requests
 * and reported load), stalled requests in flight, recent failures, and a penalty for endpoints in another availability
 * zone.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointChooser
{
public:
    /// Endpoints whose costs differ by less than this, in milliseconds, are selected at random.
    static constexpr double tieBreakJitterMs = 0.5;

    /// @p zone is the availability zone of this instance.
    EndpointChooser(const EndpointSet &endpoints, ZoneId zone, Random &random);

    /// Returns nullptr if no endpoint of the service is available, or those that are available take no more requests of
    /// this instance now. Ejected endpoints are selected only if there is no other.
    EndpointPtr choose(const EndpointCriteria &criteria, TimePoint now) const;

    /// Why choose() does not select the endpoint, whatever its cost; None if it may.
    EndpointExclusion exclusion(const ServiceEndpoint &endpoint, const EndpointCriteria &criteria, TimePoint now) const;

    /// The cost by which choose() compares the endpoint with others.
    EndpointCost cost(const ServiceEndpoint &endpoint, const EndpointCriteria &criteria, TimePoint now) const;

    /// Lowest estimatedLatency() among the available endpoints of the service that are not ejected; std::nullopt if
    /// there is none.
    std::optional<Duration>
    lowestEstimatedLatency(const ServiceId &service, Duration typicalLatency, TimePoint now) const;

    /// How far the available endpoints of the service have asked for fewer requests.
    ServiceThrottling throttling(const ServiceId &service, TimePoint now) const;

    /// True if the service has an available endpoint in this zone that is neither suspect nor ejected.
    bool hasHealthyLocalEndpoint(const ServiceId &service, TimePoint now) const;

    /// Latency to expect at @p endpoint from its load, warm-up and work factor, assuming that it is not slower than it
    /// reports.
    static Duration nominalLatency(const ServiceEndpoint &endpoint, Duration typicalLatency, TimePoint now);

    /// nominalLatency(), multiplied by the observed slowness if the endpoint is suspect.
    static Duration estimatedLatency(const ServiceEndpoint &endpoint, Duration typicalLatency, TimePoint now);

private:
    const EndpointSet &endpoints;
    ZoneId zone;
    Random &random;
};

}
