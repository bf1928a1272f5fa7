#pragma once

#include "fleet/membertable.h"

#include <map>

namespace Lycheewall
{

/// How callers and other instances reach an instance, and its capacity.
struct InstanceInfo
{
    InstanceId instance;
    ZoneId zone;
    /// Address that callers connect to.
    std::string callerAddress;
    /// Address to which other instances send datagrams.
    std::string peerAddress;
    bool ready = false;
    CpuUsage cpuUsage;
};

/**
 * Selects the active instances of each availability zone, which receive the traffic of the zone. In a large fleet these
 * are the instances with the most CPU cores, and only as many as the load requires: each of them then gets enough
 * requests to measure the endpoints and to keep its connections to them in use. All other instances are standby
 * instances. In a small fleet all ready instances are active.
 * Thread safety: none; used on the thread of the request loop.
 */
class ActiveInstanceSet
{
public:
    /// @p own describes this instance and may change. Precondition: both references outlive the set.
    ActiveInstanceSet(const MemberTable &members, const InstanceInfo &own);

    /// Active instances of @p zone; empty if no instance of the zone is ready.
    std::vector<InstanceInfo> inZone(const ZoneId &zone);

    /// Active instances of all zones.
    std::vector<InstanceInfo> inAllZones();

    /// Ready instances of all zones, both active and standby ones.
    std::vector<InstanceInfo> readyInstances() const;

    /// True if this instance is an active instance of its zone.
    bool isSelfActive();

    /// Share of the fleet-wide limits that this instance may use, above 0 and at most 1. The shares of all instances,
    /// unreachable ones included, add up to at most 1.
    double ownFleetShare();

private:
    /// Selects the active instances from @p candidates, the ready instances of @p zone.
    std::vector<InstanceInfo> selectActive(const ZoneId &zone, std::vector<InstanceInfo> candidates);

    /// Number of instances, from the front of @p candidates, that can serve the load of all candidates. The current
    /// number @p previousCount adds a hysteresis.
    std::size_t requiredCount(const std::vector<InstanceInfo> &candidates, std::size_t previousCount) const;

    const MemberTable &members;
    const InstanceInfo &own;
    std::map<ZoneId, std::size_t> activeCounts;
};

}
