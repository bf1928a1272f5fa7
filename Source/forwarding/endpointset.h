#pragma once

#include "core/random.h"
#include "forwarding/endpointstats.h"
#include "forwarding/routetable.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace Lycheewall
{

/// What an endpoint publishes of itself.
struct EndpointRecord
{
    EndpointId id;
    ServiceId service;
    /// host:port
    std::string address;
    ZoneId zone;
    int slots = 1;
    bool draining = false;
    /// How much longer the endpoint is cold, at the time of publication.
    Duration remainingWarmup {};
    /// Moment of the process's start by its own wall clock; 0 when unknown. Tells two runs under one id apart.
    std::int64_t processStartMs = 0;
};

/// A published endpoint with what is known of it.
struct ServiceEndpoint
{
    EndpointRecord record;
    EndpointStats stats;
    TimePoint coldUntil;
    /// False once the entry is gone; work in flight may still hold the object.
    bool registered = true;
};
using EndpointPtr = std::shared_ptr<ServiceEndpoint>;

/// An endpoint that an instance has found slow.
struct SlowEndpoint
{
    EndpointId endpoint;
    /// Time of an answer relative to what is expected.
    double slowness = 1;
};

/**
 * The endpoints that are published now, by service, and the zones that are evacuated.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointSet
{
public:
    /// Adds or updates. A new process under a known id starts with fresh statistics.
    void addOrUpdate(const EndpointRecord &record, TimePoint now);
    void remove(const EndpointId &id);
    void setEvacuatedZones(std::set<ZoneId> zones);

    /// Endpoints of the service in any state; empty when there are none.
    const std::vector<EndpointPtr> &endpointsOf(const ServiceId &service) const;

    EndpointPtr find(const EndpointId &id) const;

    /// True when the endpoint may get new work: listed, not draining, and its zone not evacuated.
    bool isAvailable(const ServiceEndpoint &endpoint) const;

    /// Zones with an endpoint of the service that takes work.
    std::set<ZoneId> availableZones(const ServiceId &service) const;

    std::size_t size() const;

    /// Endpoints that this instance has found slow lately, for the other instances; a bounded number.
    std::vector<SlowEndpoint> locallySlowEndpoints(TimePoint now) const;

    /// Another instance found these endpoints slow at @p observedAt. @p random spreads the probes of the instances.
    void applySlowReports(const std::vector<SlowEndpoint> &slow, TimePoint observedAt, Random &random);

private:
    std::unordered_map<EndpointId, EndpointPtr> byId;
    std::unordered_map<ServiceId, std::vector<EndpointPtr>> byService;
    std::set<ZoneId> evacuated;
};

}
