#include "forwarding/endpointset.h"

#include "core/erasevaluesif.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Largest number of slow endpoints that one gossip message reports, so that the message fits into one packet.
constexpr std::size_t maxSlowReports = 40;
/// After an instance has reported a slow endpoint, the others delay their next probe by remoteProbeDelay plus a random
/// time of up to remoteProbeJitter. The first instance that probes it reports the result to the others.
constexpr Duration remoteProbeDelay = Milliseconds(1500);
constexpr Duration remoteProbeJitter = Milliseconds(2000);
/// What was learned about a service is kept for this time without endpoints, as all of them may be restarting.
constexpr Duration unusedServiceLifetime = std::chrono::minutes(5);
constexpr Duration cleanupInterval = std::chrono::seconds(10);

bool sameProcess(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.service == right.service && left.address == right.address
        && left.processStartMs == right.processStartMs;
}

bool reportsWorkFactor(const EndpointPtr &endpoint)
{
    return endpoint->stats.reportsWorkFactor();
}

}

EndpointExclusion ServiceEndpoint::unavailability() const
{
    if (!this->registered) {
        return EndpointExclusion::Removed;
    }
    if (this->record.draining) {
        return EndpointExclusion::Draining;
    }
    if (this->leaving) {
        return EndpointExclusion::Leaving;
    }
    return this->zoneEvacuated ? EndpointExclusion::ZoneEvacuated : EndpointExclusion::None;
}

bool ServiceEndpoint::isAvailable() const
{
    return this->unavailability() == EndpointExclusion::None;
}

bool ServiceEndpoint::isThrottled() const
{
    return this->rateLimit.isLimited() || this->backoff.isActive();
}

EndpointExclusion ServiceEndpoint::throttleExclusion(double rateLimitShare, TimePoint now) const
{
    if (!this->backoff.canSend(this->stats.inFlight(), now)) {
        return EndpointExclusion::Backoff;
    }
    return this->rateLimit.canSend(rateLimitShare, now) ? EndpointExclusion::None : EndpointExclusion::RateLimit;
}

bool ServiceEndpoint::acceptsRequest(double rateLimitShare, TimePoint now) const
{
    return this->throttleExclusion(rateLimitShare, now) == EndpointExclusion::None;
}

bool ServiceEndpoint::wantsNoRequests(TimePoint now) const
{
    return this->leaving || this->backoff.isWaiting(now);
}

Duration ServiceEndpoint::throttleWaitTime(double rateLimitShare, TimePoint now) const
{
    return std::max(this->rateLimit.waitTime(rateLimitShare, now), this->backoff.waitTime(this->stats.inFlight(), now));
}

double ServiceEndpoint::fillLevel(double rateLimitShare, TimePoint now) const
{
    return this->backoff.canSend(this->stats.inFlight(), now) ? this->rateLimit.fillLevel(rateLimitShare, now) : 0;
}

void EndpointSet::setCounters(Counters &counters)
{
    this->sharedLoadModel->setCounters(counters);
}

void EndpointSet::addOrUpdate(const EndpointRecord &record, TimePoint now)
{
    const EndpointPtr existing = this->find(record.id);
    if (existing && sameProcess(existing->record, record)) {
        existing->record = record;
        this->updateEvacuation(*existing);
        existing->coldUntil = std::max(existing->coldUntil, now + record.remainingWarmup);
        return;
    }
    this->remove(record.id);
    const auto endpoint = std::make_shared<ServiceEndpoint>();
    endpoint->record = record;
    this->updateEvacuation(*endpoint);
    endpoint->coldUntil = now + record.remainingWarmup;
    this->forgetUnusedServices(now);
    Service &service = this->services[record.service];
    service.emptySeenAt.reset();
    service.endpoints.push_back(endpoint);
    endpoint->stats.setLoadModel(this->sharedLoadModel, service.loadModel);
    endpoint->stats.setLateListener([late = this->lateEndpoints, id = record.id] { late->insert(id); });
    this->byId[record.id] = endpoint;
}

void EndpointSet::remove(const EndpointId &id)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end()) {
        return;
    }
    const EndpointPtr endpoint = entry->second;
    endpoint->registered = false;
    Service &service = this->services[endpoint->record.service];
    std::vector<EndpointPtr> &siblings = service.endpoints;
    siblings.erase(std::remove(siblings.begin(), siblings.end(), endpoint), siblings.end());
    if (std::none_of(siblings.begin(), siblings.end(), reportsWorkFactor)) {
        service.loadModel->forgetWorkFactors();
    }
    this->byId.erase(entry);
}

void EndpointSet::forgetUnusedServices(TimePoint now)
{
    if (now < this->nextCleanupAt) {
        return;
    }
    this->nextCleanupAt = now + cleanupInterval;
    for (auto &[id, service] : this->services) {
        if (service.endpoints.empty() && !service.emptySeenAt) {
            service.emptySeenAt = now;
        }
    }
    eraseValuesIf(this->services, [now](const Service &service) {
        return service.emptySeenAt && now - *service.emptySeenAt > unusedServiceLifetime;
    });
}

void EndpointSet::setEvacuatedZones(std::set<ZoneId> zones)
{
    this->evacuatedZones = std::move(zones);
    for (const auto &[id, endpoint] : this->byId) {
        this->updateEvacuation(*endpoint);
    }
}

void EndpointSet::updateEvacuation(ServiceEndpoint &endpoint) const
{
    endpoint.zoneEvacuated = this->evacuatedZones.count(endpoint.record.zone) > 0;
}

const std::vector<EndpointPtr> &EndpointSet::endpointsOf(const ServiceId &service) const
{
    static const std::vector<EndpointPtr> none;
    const auto entry = this->services.find(service);
    return entry == this->services.end() ? none : entry->second.endpoints;
}

ServiceLoadModel::WorkFactors EndpointSet::workFactorsOf(const ServiceId &service) const
{
    const auto entry = this->services.find(service);
    return entry == this->services.end() ? ServiceLoadModel::WorkFactors::Unknown
                                         : entry->second.loadModel->workFactors();
}

EndpointPtr EndpointSet::find(const EndpointId &id) const
{
    const auto entry = this->byId.find(id);
    return entry == this->byId.end() ? nullptr : entry->second;
}

std::set<ZoneId> EndpointSet::availableZones(const ServiceId &service) const
{
    std::set<ZoneId> zones;
    for (const EndpointPtr &endpoint : this->endpointsOf(service)) {
        if (endpoint->isAvailable()) {
            zones.insert(endpoint->record.zone);
        }
    }
    return zones;
}

std::size_t EndpointSet::size() const
{
    return this->byId.size();
}

std::size_t EndpointSet::serviceCount() const
{
    return this->services.size();
}

EndpointLoadModel &EndpointSet::loadModel() const
{
    return *this->sharedLoadModel;
}

void EndpointSet::setFleetShare(double share)
{
    this->ownFleetShare = share;
}

double EndpointSet::fleetShare() const
{
    return this->ownFleetShare;
}

void EndpointSet::setRateLimitShare(double share)
{
    this->ownRateLimitShare = share;
}

double EndpointSet::rateLimitShare() const
{
    return this->ownRateLimitShare;
}

std::vector<SlowEndpoint> EndpointSet::locallySlowEndpoints(TimePoint now)
{
    std::vector<SlowEndpoint> slowEndpoints;
    for (auto id = this->lateEndpoints->begin(); id != this->lateEndpoints->end();) {
        const EndpointPtr endpoint = this->find(*id);
        const auto slowness = endpoint ? endpoint->stats.locallyObservedSlowness(now) : std::nullopt;
        if (!slowness) {
            id = this->lateEndpoints->erase(id);
            continue;
        }
        if (slowEndpoints.size() < maxSlowReports) {
            slowEndpoints.push_back({ *id, *slowness });
        }
        ++id;
    }
    return slowEndpoints;
}

void EndpointSet::applySlowReports(const std::vector<SlowEndpoint> &reports, TimePoint observedAt, Random &random)
{
    for (const SlowEndpoint &report : reports) {
        const EndpointPtr endpoint = this->find(report.endpoint);
        if (!endpoint) {
            continue;
        }
        const Duration jitter = fromSeconds(random.uniformReal() * fractionalSeconds(remoteProbeJitter));
        endpoint->stats.applySlowReport(report.slowness, observedAt, observedAt + remoteProbeDelay + jitter);
    }
}

}
