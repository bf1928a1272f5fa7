#pragma once

#include "membership/peertable.h"
#include "routing/groupregistry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lycheewall
{

/// What an operator sees of one daemon. Thread safety: a value type.
struct StateReport
{
    InstanceId instance;
    ZoneId zone;
    Gossip state;
    bool cutOff = false;
    /// Callers' requests that have not ended.
    std::size_t running = 0;
    /// Parts that peers asked this instance to run.
    std::size_t served = 0;
    /// Parts of callers' requests that have not ended.
    std::size_t routed = 0;
    std::size_t callerConnections = 0;
    std::vector<GroupReport> groups;
    std::map<EndpointId, int> connections;
    std::map<InstanceId, PeerHealth> peers;
    std::set<ZoneId> drained;
    /// Why the last published value was refused.
    std::vector<std::string> problems;

    std::string json() const;
};

/// Sets the log level by its name; false when there is no such level.
bool setLogLevelByName(const std::string &level);

}
