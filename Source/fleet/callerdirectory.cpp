#include "fleet/callerdirectory.h"

namespace Lycheewall
{

CallerDirectory::CallerDirectory(const MemberTable &memberTable, const EndpointSet &endpointSet)
    : members(memberTable)
    , endpoints(endpointSet)
{
}

std::vector<std::string> CallerDirectory::addresses(const OwnAddress &own,
                                                    const RouteTable *table,
                                                    const std::string &host,
                                                    const ZoneId &zone) const
{
    std::map<ZoneId, std::vector<std::string>> ready;
    if (own.ready) {
        ready[own.zone].push_back(own.address);
    }
    for (const Member *member : this->members.alive()) {
        if (member->latest.state == MemberState::Ready) {
            ready[member->latest.zone].push_back(member->latest.callerAddress);
        }
    }
    const std::set<ZoneId> hostZones = table == nullptr ? std::set<ZoneId>() : this->zonesOfHost(*table, host);
    const bool zoneServesHost = hostZones.empty() || hostZones.count(zone) > 0;
    if (zoneServesHost && ready.count(zone) > 0) {
        return ready[zone];
    }
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto &[readyZone, addresses] : ready) {
        all.insert(all.end(), addresses.begin(), addresses.end());
        if (hostZones.count(readyZone) > 0) {
            near.insert(near.end(), addresses.begin(), addresses.end());
        }
    }
    return near.empty() ? all : near;
}

std::set<ZoneId> CallerDirectory::zonesOfHost(const RouteTable &table, const std::string &host) const
{
    std::set<ZoneId> zones;
    for (const Route &route : table.routes()) {
        if (route.host != host) {
            continue;
        }
        for (const WeightedService &backend : route.services) {
            zones.merge(this->endpoints.zonesOf(backend.service));
        }
        for (const ServiceId &shard : route.shards) {
            zones.merge(this->endpoints.zonesOf(shard));
        }
    }
    return zones;
}

}
