#pragma once

#include "lease/leaseservice.h"
#include "routing/ownerdirectory.h"

namespace Lycheewall
{

/// Finds owners through the lease service and the peer table. Thread safety: any thread.
class FleetDirectory : public OwnerDirectory
{
public:
    /// Both references must outlive the directory.
    FleetDirectory(const LeaseService &leaseService, const PeerTable &peerTable, InstanceId selfId);

    std::optional<InstanceId> holder(const ResourceId &resource) const override;
    bool responsive(const InstanceId &instance) const override;

private:
    const LeaseService &leases;
    const PeerTable &peers;
    const InstanceId self;
};

}
