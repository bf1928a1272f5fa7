#include "daemon/statereport.h"

#include "core/log.h"
#include "daemon/settings.h"

#include <nlohmann/json.hpp>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

std::string_view stateText(InstanceState state)
{
    switch (state) {
    case InstanceState::Ready:
        return "ready";
    case InstanceState::Leaving:
        return "leaving";
    default:
        return "starting";
    }
}

std::string_view healthText(PeerHealth health)
{
    switch (health) {
    case PeerHealth::Alive:
        return "alive";
    case PeerHealth::Suspect:
        return "suspect";
    case PeerHealth::Dead:
        return "dead";
    case PeerHealth::Leaving:
        return "leaving";
    default:
        return "unknown";
    }
}

json endpointJson(const EndpointReport &endpoint, int connections)
{
    return {
        { "endpoint", endpoint.id.value() }, { "limit", endpoint.limit },          { "running", endpoint.running },
        { "cold", endpoint.cold },           { "in-service", endpoint.inService }, { "connections", connections }
    };
}

json groupJson(const GroupReport &group, const std::map<EndpointId, int> &connections)
{
    json endpoints = json::array();
    for (const EndpointReport &endpoint : group.state.endpoints) {
        endpoints.push_back(endpointJson(endpoint, connections.at(endpoint.id)));
    }
    return { { "pool", group.pool.value() },
             { "group", group.group.value() },
             { "queue-length", group.state.queueLength },
             { "endpoints", endpoints } };
}

}

std::string StateReport::json() const
{
    nlohmann::json held = nlohmann::json::array();
    for (const ResourceId &resource : this->state.held) {
        held.push_back(resource.value());
    }
    nlohmann::json groupList = nlohmann::json::array();
    for (const GroupReport &group : this->groups) {
        groupList.push_back(groupJson(group, this->connections));
    }
    nlohmann::json peerMap = nlohmann::json::object();
    for (const auto &[peer, health] : this->peers) {
        peerMap[peer.value()] = healthText(health);
    }
    nlohmann::json drainedList = nlohmann::json::array();
    for (const ZoneId &drainedZone : this->drained) {
        drainedList.push_back(drainedZone.value());
    }
    return nlohmann::json {
        { "instance", this->instance.value() },
        { "zone", this->zone.value() },
        { "state", stateText(this->state.state) },
        { "cut-off", this->cutOff },
        { "catalogue-version", this->state.catalogueVersion.value() },
        { "instances-version", this->state.listVersion.value() },
        { "platform-age-ms", this->state.platformAgeMs },
        { "running-requests", this->running },
        { "served-parts", this->served },
        { "routed-parts", this->routed },
        { "caller-connections", this->callerConnections },
        { "held", held },
        { "groups", groupList },
        { "peers", peerMap },
        { "drained-zones", drainedList },
        { "refused-configuration", this->problems }
    }.dump();
}

bool setLogLevelByName(const std::string &level)
{
    for (const LogLevel known : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (logLevelText(known) == level) {
            Log::setLevel(known);
            return true;
        }
    }
    return false;
}

}
