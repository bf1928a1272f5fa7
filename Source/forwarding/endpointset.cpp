#include "forwarding/endpointset.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

bool sameProcess(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.service == right.service && left.address == right.address && left.bornMs == right.bornMs;
}

}

void EndpointSet::put(const EndpointRecord &record, TimePoint now)
{
    const EndpointPtr known = this->find(record.id);
    if (known && sameProcess(known->record, record)) {
        known->record = record;
        known->coldUntil = std::max(known->coldUntil, now + record.warmupLeft);
        return;
    }
    this->remove(record.id);
    const auto endpoint = std::make_shared<ServiceEndpoint>();
    endpoint->record = record;
    endpoint->coldUntil = now + record.warmupLeft;
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
    endpoint->listed = false;
    auto &siblings = this->byService[endpoint->record.service];
    siblings.erase(std::remove(siblings.begin(), siblings.end(), endpoint), siblings.end());
    this->byId.erase(entry);
}

void EndpointSet::setEvacuated(std::set<ZoneId> zones)
{
    this->evacuated = std::move(zones);
}

const std::vector<EndpointPtr> &EndpointSet::ofService(const ServiceId &service) const
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

bool EndpointSet::takesWork(const ServiceEndpoint &endpoint) const
{
    return endpoint.listed && !endpoint.record.draining && this->evacuated.count(endpoint.record.zone) == 0;
}

std::set<ZoneId> EndpointSet::zonesOf(const ServiceId &service) const
{
    std::set<ZoneId> zones;
    for (const EndpointPtr &endpoint : this->ofService(service)) {
        if (this->takesWork(*endpoint)) {
            zones.insert(endpoint->record.zone);
        }
    }
    return zones;
}

std::size_t EndpointSet::size() const
{
    return this->byId.size();
}

}
