#include "forwarding/endpointset.h"

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

bool sameProcess(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.service == right.service && left.address == right.address
        && left.processStartMs == right.processStartMs;
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
    auto &serviceRatio = this->latencyRatios[record.service];
    if (!serviceRatio) {
        serviceRatio = std::make_shared<MeanLatencyRatio>();
    }
    endpoint->stats.setLoadModel(this->sharedLoadModel, serviceRatio);
    endpoint->stats.setLateListener([late = this->lateEndpoints, id = record.id] { late->insert(id); });
    this->byId[record.id] = endpoint;
    this->byService[record.service].push_back(endpoint);
}

void EndpointSet::remove(const EndpointId &id)
{
    const auto entry = this->byId.find(id);
    if (entry == this->byId.end()) {
        return;
    }
    const EndpointPtr endpoint = entry->second;
    endpoint->registered = false;
    auto &siblings = this->byService[endpoint->record.service];
    siblings.erase(std::remove(siblings.begin(), siblings.end(), endpoint), siblings.end());
    this->byId.erase(entry);
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
    const auto entry = this->byService.find(service);
    return entry == this->byService.end() ? none : entry->second;
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
