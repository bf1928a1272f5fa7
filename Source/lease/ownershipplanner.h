#pragma once

#include "lease/leaseholder.h"
#include "membership/peertable.h"

namespace Lycheewall
{

/// What to do with the resources in this round.
struct OwnershipPlan
{
    /// To ask for or to renew.
    std::vector<ResourceId> ask;
    /// Held, and to be handed over to a higher-ranked instance.
    std::vector<ResourceId> handOver;
    /// Partial grants to give back, so that another candidate can reach a quorum.
    std::vector<ResourceId> giveBack;
};

/**
 * Decides which resources this instance asks for, keeps and hands over.
 * Thread safety: any thread.
 */
class OwnershipPlanner
{
public:
    OwnershipPlanner(LeaseSettings times, const Clock &timeSource, const PeerTable &peerTable, InstanceId selfId);

    /// All resources of the catalogue. Resources that are no longer in it are handed over when held.
    void setResources(std::vector<ResourceId> all);

    /// Whether this instance may become an owner.
    void setReady(bool value);

    /// Hand over everything from now on, and ask for nothing new.
    void leave();

    /// The plan for now. @p handingOver are resources that the application was asked to stop using.
    OwnershipPlan plan(const LeaseHolder &holder, const std::set<ResourceId> &handingOver);

private:
    struct Memory
    {
        /// Since when a higher-ranked instance could take the resource.
        std::optional<TimePoint> higherSince;
        /// Since when no holder is known.
        std::optional<TimePoint> orphanSince;
        /// No requests before this time.
        TimePoint notBefore;
        /// True when the lease was taken although a higher-ranked instance was in view.
        bool outOfTurn = false;
    };

    void planHeld(const ResourceId &resource, std::size_t position, TimePoint now, OwnershipPlan &out);
    void planOther(const ResourceId &resource, std::size_t position, const LeaseHolder &holder, OwnershipPlan &out);
    bool mayAsk(Memory &memory, const ResourceId &resource, std::size_t position, TimePoint now) const;
    std::optional<std::size_t> positionOf(const Panel &panel) const;

    const LeaseSettings settings;
    const Clock &clock;
    const PeerTable &peers;
    const InstanceId self;
    mutable std::mutex mutex;
    std::vector<ResourceId> resources;
    std::map<ResourceId, Memory> memories;
    bool ready = false;
    bool leaving = false;
};

}
