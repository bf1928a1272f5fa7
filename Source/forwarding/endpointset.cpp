#include "forwarding/endpointset.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Slow endpoints that are told at a time; keeps messages in one packet.
constexpr std::size_t mostTold = 40;
/// After an instance has found an endpoint slow, the others send no probe for probePause and a random time of up to
/// probeSpread. The first one that probes it tells the others what it finds.
constexpr Duration probePause = Milliseconds(1500);
constexpr Duration probeSpread = Milliseconds(2000);

bool sameProcess(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.service == right.service && left.address == right.address
        && left.processStartMs == right.processStartMs;
}

}

void EndpointSet::addOrUpdate(const EndpointRecord &record, TimePoint now)
{
    const EndpointPtr known = this->find(record.id);
    if (known && sameProcess(known->record, record)) {
        known->record = record;
        known->coldUntil = std::max(known->coldUntil, now + record.remainingWarmup);
        return;
    }
    this->remove(record.id);
    const auto endpoint = std::make_shared<ServiceEndpoint>();
    endpoint->record = record;
    endpoint->coldUntil = now + record.remainingWarmup;
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
    this->evacuated = std::move(zones);
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

bool EndpointSet::isAvailable(const ServiceEndpoint &endpoint) const
{
    return endpoint.registered && !endpoint.record.draining && this->evacuated.count(endpoint.record.zone) == 0;
}

std::set<ZoneId> EndpointSet::availableZones(const ServiceId &service) const
{
    std::set<ZoneId> zones;
    for (const EndpointPtr &endpoint : this->endpointsOf(service)) {
        if (this->isAvailable(*endpoint)) {
            zones.insert(endpoint->record.zone);
        }
    }
    return zones;
}

std::size_t EndpointSet::size() const
{
    return this->byId.size();
}

std::vector<SlowEndpoint> EndpointSet::locallySlowEndpoints(TimePoint now) const
{
    std::vector<SlowEndpoint> slow;
    for (const auto &[id, endpoint] : this->byId) {
        const auto slowness = endpoint->stats.locallyObservedSlowness(now);
        if (slowness && slow.size() < mostTold) {
            slow.push_back({ id, *slowness });
        }
    }
    return slow;
}

void EndpointSet::applySlowReports(const std::vector<SlowEndpoint> &slow, TimePoint observedAt, Random &random)
{
    for (const SlowEndpoint &item : slow) {
        const EndpointPtr endpoint = this->find(item.endpoint);
        if (!endpoint) {
            continue;
        }
        const Duration spread = fromSeconds(random.uniformReal() * fractionalSeconds(probeSpread));
        endpoint->stats.applySlowReport(item.slowness, observedAt, observedAt + probePause + spread);
    }
}

}
