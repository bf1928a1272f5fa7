#pragma once

#include "core/random.h"
#include "forwarding/endpointbackoff.h"
#include "forwarding/endpointratelimit.h"
#include "forwarding/endpointstats.h"
#include "forwarding/routetable.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace Lycheewall
{

/// What an endpoint registers about itself in the feed.
struct EndpointRecord
{
    EndpointId id;
    ServiceId service;
    /// host:port
    std::string address;
    ZoneId zone;
    int slots = 1;
    bool draining = false;
    /// Remaining warm-up time when the record was written.
    Duration remainingWarmup {};
    /// Start time of the endpoint process by its own wall clock, in milliseconds; 0 if unknown. Distinguishes two
    /// processes that run under the same id one after the other.
    std::int64_t processStartMs = 0;
};

/// Why an endpoint gets no request now.
enum class EndpointExclusion {
    None,
    Removed,
    Draining,
    /// It has said in a response that it shuts down.
    Leaving,
    ZoneEvacuated,
    /// It has turned a request of this instance away and named a time.
    Backoff,
    /// This instance's share of the rate that the endpoint takes is used up.
    RateLimit,
    /// An earlier attempt of the request was sent to it.
    AlreadyTried,
    /// Its rate is reserved for first attempts.
    LowFillLevel,
};

/// A registered endpoint and the statistics that this instance keeps about it.
struct ServiceEndpoint
{
    EndpointRecord record;
    EndpointStats stats;
    EndpointRateLimit rateLimit;
    EndpointBackoff backoff;
    /// True once the endpoint process has said in a response that it shuts down.
    bool leaving = false;
    /// Names of header fields whose invalid values have been logged.
    std::set<std::string> loggedInvalidFields;
    TimePoint coldUntil;
    /// True while the zone of the endpoint is evacuated.
    bool zoneEvacuated = false;
    /// False once the entry was removed. Requests in flight may still hold the object.
    bool registered = true;

    /// Why no new requests may go to the endpoint, whatever their rate; None if it is available.
    EndpointExclusion unavailability() const;

    /// True if new requests may go to the endpoint: it is registered, not draining or leaving, and its zone is not
    /// evacuated.
    bool isAvailable() const;

    /// True if the endpoint has asked for fewer requests, by a rate limit or a backoff.
    bool isThrottled() const;

    /// Why the endpoint takes no request now, a backoff or a rate limit; None if it takes one. @p rateLimitShare is
    /// this instance's share of the rate limits.
    EndpointExclusion throttleExclusion(double rateLimitShare, TimePoint now) const;

    /// True if the endpoint takes a request now. @p rateLimitShare is this instance's share of the rate limits.
    bool acceptsRequest(double rateLimitShare, TimePoint now) const;

    /// True if the endpoint wants no requests at all now: it shuts down, or it has turned one away and named a time.
    bool wantsNoRequests(TimePoint now) const;

    /// Time until acceptsRequest() can become true; zero if it is.
    Duration throttleWaitTime(double rateLimitShare, TimePoint now) const;

    /// See EndpointRateLimit::fillLevel(); 0 while the backoff allows no request.
    double fillLevel(double rateLimitShare, TimePoint now) const;
};
using EndpointPtr = std::shared_ptr<ServiceEndpoint>;

/// Report that an instance has observed an endpoint to be slow.
struct SlowEndpoint
{
    EndpointId endpoint;
    /// Observed latency divided by the expected latency.
    double slowness = 1;
};

/**
 * The endpoints that are currently registered, by service, and the evacuated zones.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointSet
{
public:
    /// Counts events of the load reports in @p counters, which outlives the set.
    void setCounters(Counters &counters);

    /// Adds or updates an endpoint. A new process under a known id starts with empty statistics.
    void addOrUpdate(const EndpointRecord &record, TimePoint now);
    void remove(const EndpointId &id);
    void setEvacuatedZones(std::set<ZoneId> zones);

    /// Endpoints of the service in any state; empty if there are none.
    const std::vector<EndpointPtr> &endpointsOf(const ServiceId &service) const;

    /// Whether the endpoints of the service, in any state, report work factors.
    ServiceLoadModel::WorkFactors workFactorsOf(const ServiceId &service) const;

    /// Returns nullptr if no endpoint is registered under @p id.
    EndpointPtr find(const EndpointId &id) const;

    /// Zones with an available endpoint of the service.
    std::set<ZoneId> availableZones(const ServiceId &service) const;

    std::size_t size() const;

    /// Number of services with endpoints, and of those that have lost their last endpoint recently.
    std::size_t serviceCount() const;

    /// What was learned from the load reports of all endpoints.
    EndpointLoadModel &loadModel() const;

    /// Sets this instance's share of the connections that each endpoint accepts from the whole fleet, above 0 and at
    /// most 1.
    void setFleetShare(double share);
    double fleetShare() const;

    /// Sets this instance's share of the rate limits that endpoints name for the whole fleet, above 0 and at most 1.
    void setRateLimitShare(double share);
    double rateLimitShare() const;

    /// Endpoints that this instance has recently observed to be slow, as reports for the other instances. Their number
    /// is bounded. Visits only the endpoints that have recently responded late.
    std::vector<SlowEndpoint> locallySlowEndpoints(TimePoint now);

    /// Applies the reports of another instance, whose observations date from @p observedAt. @p random spreads the
    /// probes that the instances send afterwards.
    void applySlowReports(const std::vector<SlowEndpoint> &reports, TimePoint observedAt, Random &random);

private:
    using EndpointIds = std::set<EndpointId>;
    struct Service
    {
        /// In any state.
        std::vector<EndpointPtr> endpoints;
        std::shared_ptr<ServiceLoadModel> loadModel = std::make_shared<ServiceLoadModel>();
        /// When a cleanup first found it without endpoints; std::nullopt while it has some.
        std::optional<TimePoint> emptySeenAt;
    };

    void updateEvacuation(ServiceEndpoint &endpoint) const;
    void forgetUnusedServices(TimePoint now);

    std::unordered_map<EndpointId, EndpointPtr> byId;
    std::unordered_map<ServiceId, Service> services;
    /// Endpoints that were late often enough to be reported. Shared with them, as requests in flight may keep an
    /// endpoint alive for longer than the set.
    std::shared_ptr<EndpointIds> lateEndpoints = std::make_shared<EndpointIds>();
    std::shared_ptr<EndpointLoadModel> sharedLoadModel = std::make_shared<EndpointLoadModel>();
    std::set<ZoneId> evacuatedZones;
    double ownFleetShare = 1;
    double ownRateLimitShare = 1;
    TimePoint nextCleanupAt;
};

}
