#include "daemon/fleetdirectory.h"

namespace Lycheewall
{

FleetDirectory::FleetDirectory(const LeaseService &leaseService, const PeerTable &peerTable, InstanceId selfId)
    : leases(leaseService)
    , peers(peerTable)
    , self(std::move(selfId))
{
}

std::optional<InstanceId> FleetDirectory::holder(const ResourceId &resource) const
{
    return this->leases.holder(resource);
}

bool FleetDirectory::responsive(const InstanceId &instance) const
{
    if (instance == this->self) {
        return true;
    }
    const PeerHealth health = this->peers.health(instance);
    return health == PeerHealth::Alive || health == PeerHealth::Leaving;
}

}
