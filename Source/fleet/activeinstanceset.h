#pragma once

#include "fleet/membertable.h"

#include <map>
#include <optional>

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

    /// True if this instance is an active instance of its zone.
    bool isSelfActive();

    /// Share of the fleet-wide limits that this instance may use, above 0 and at most 1. The shares of all instances,
    /// unreachable ones included, add up to at most 1.
    double ownFleetShare();

private:
    struct Zone
    {
        /// Ready instances, those with the most CPU cores first. The active ones are at the front.
        std::vector<InstanceInfo> ready;
        /// Number of active instances when it was last determined; adds a hysteresis.
        std::size_t activeCount = 0;
    };

    /// Collects the ready instances again if the fleet or this instance has changed since the last call.
    void refresh();

    /// Determines the number of active instances of the zone from its current load.
    std::size_t updateActiveCount(const ZoneId &id, Zone &zone) const;

    const MemberTable &members;
    const InstanceInfo &own;
    std::map<ZoneId, Zone> zones;
    /// State of the fleet and of this instance that the zones were collected from.
    std::optional<std::uint64_t> collectedVersion;
    bool collectedOwnReady = false;
    double collectedOwnCores = 0;
};

}
