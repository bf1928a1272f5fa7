#pragma once

#include "fleet/membertable.h"

#include <map>

namespace Lycheewall
{

/// An instance that callers and other instances can send work to.
struct InstanceInfo
{
    InstanceId instance;
    ZoneId zone;
    /// Where callers connect.
    std::string callerAddress;
    /// Where other instances send datagrams.
    std::string peerAddress;
    bool ready = false;
    CpuUsage cpuUsage;
};

/**
 * Chooses the instances that carry the work of each availability zone. In a large fleet these are the strongest ones,
 * and only as many as the load needs: each then sees enough requests to know the endpoints and to keep its connections
 * to them in use. All other instances stand by.
 * Thread safety: none; used on the thread of the request loop.
 */
class ActiveInstanceSet
{
public:
    /// @p own describes this instance and may change; both references outlive the set.
    ActiveInstanceSet(const MemberTable &members, const InstanceInfo &own);

    /// Instances of @p zone that carry work; empty when none is ready there.
    std::vector<InstanceInfo> inZone(const ZoneId &zone);

    /// Instances of all zones that carry work.
    std::vector<InstanceInfo> inAllZones();

    /// Ready instances of all zones, whether they carry work or stand by.
    std::vector<InstanceInfo> readyInstances() const;

    /// True when this instance is one of those that carry the work of its zone.
    bool isSelfActive();

    /// Part of the limits of the whole fleet that this instance may use, above 0 and at most 1. The parts of all
    /// instances add up to 1 at most, those of silent ones included.
    double ownFleetShare();

private:
    /// Those of @p candidates, the ready instances of @p zone, that carry its work.
    std::vector<InstanceInfo> carrying(const ZoneId &zone, std::vector<InstanceInfo> candidates);

    /// Number of the first of @p candidates that are enough for the load of all of them.
    std::size_t neededOf(const std::vector<InstanceInfo> &candidates, std::size_t before) const;

    const MemberTable &members;
    const InstanceInfo &own;
    std::map<ZoneId, std::size_t> sizes;
};

}
