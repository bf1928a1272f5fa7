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
    void setResources(const std::vector<ResourceId> &all);

    /// Whether this instance may become an owner.
    void setReady(bool value);

    /// Hand over everything from now on, and ask for nothing new.
    void leave();

    /// The plan for now. @p handingOver are resources that the application was asked to stop using.
    OwnershipPlan plan(LeaseHolder &holder, const std::set<ResourceId> &handingOver);

private:
    struct Memory
    {
        /// Since when a higher-ranked instance could take the resource.
        std::optional<TimePoint> higherSince;
        /// Since when no holder is known.
        std::optional<TimePoint> orphanSince;
        /// Since when partial grants are held although others make a quorum impossible.
        std::optional<TimePoint> deadlockSince;
        /// No requests before this time.
        TimePoint notBefore;
        bool held = false;
        /// True when the lease was taken although a higher-ranked instance was in view.
        bool outOfTurn = false;
    };
    /// Where this instance stands in a panel.
    struct Position
    {
        bool member = false;
        /// Index in the panel.
        std::size_t rank = 0;
        /// Higher-ranked members that may own.
        std::size_t ahead = 0;
    };

    Position positionIn(const Panel &panel) const;
    bool mustHandOver(Memory &memory, const Position &position, TimePoint now) const;
    bool mayAsk(Memory &memory, const ResourceId &resource, const Position &position, TimePoint now) const;
    /// True if voters have granted the resource to a candidate of @p panel that ranks before this instance.
    bool hasHigherCompetitor(const ResourceId &resource, const Panel &panel, const LeaseProgress &progress) const;
    bool
    mustGiveBack(Memory &memory, const ResourceId &resource, const Panel &panel, const LeaseProgress &progress) const;
    void planHeld(const ResourceId &resource, const Panel &panel, bool handingOver, OwnershipPlan &out);
    void planOther(const ResourceId &resource, LeaseHolder &holder, OwnershipPlan &out);

    const LeaseSettings settings;
    const Clock &clock;
    const PeerTable &peers;
    const InstanceId self;
    mutable std::mutex mutex;
    std::set<ResourceId> resources;
    std::map<ResourceId, Memory> memories;
    bool ready = false;
    bool leaving = false;
};

}
