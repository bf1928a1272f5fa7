#pragma once

#include "lease/leasesettings.h"
#include "membership/panel.h"
#include "peer/codec/messages.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace Lycheewall
{

/// A message and the peer it is for.
struct AddressedMessage
{
    InstanceId peer;
    PeerMessage message;
};

/// A lease that began or ended, in the order of the events.
struct LeaseChange
{
    enum class Kind { Lost, Gained };
    Kind kind = Kind::Lost;
    ResourceId resource;
    /// Tells the acquisitions of one resource apart.
    std::uint64_t acquisition = 0;
};

/// How far a candidate is with a resource that it does not hold.
struct LeaseProgress
{
    /// When the present series of requests began.
    TimePoint askedSince;
    std::size_t granted = 0;
    /// Voters that are bound to another candidate or holder, according to their newest answer.
    std::size_t bound = 0;
    /// The instances that these voters are bound to.
    std::set<InstanceId> competitors;
    std::size_t members = 0;
    std::size_t quorum = 0;
};

/**
 * Grants that this instance collected. A grant counts from the moment its request was sent. A resource is held while
 * a quorum of the panel in the present list has granted it.
 *
 * Each lapse produces a Lost change, also when new grants arrive before anybody looked, because another instance may
 * have held the resource in between. holds() stays false until the Gained change is confirmed with activate().
 * Thread safety: any thread.
 */
class LeaseHolder
{
public:
    /// @p runNumber tells the runs of this instance apart; draw it at random.
    LeaseHolder(LeaseSettings times, const Clock &timeSource, std::uint32_t runNumber);

    /// Adopts a list; the panels follow it.
    void setList(std::shared_ptr<const InstanceList> newList, ValueVersion version);

    /// Requests for these resources, one for each voter. They count as sent now.
    std::vector<AddressedMessage> requests(const std::vector<ResourceId> &resources);

    /// Notes an answer. Answers to unknown requests, or from another peer than the one asked, are ignored.
    void reply(const InstanceId &from, const LeaseReply &answer);

    /// Gives up the resources, their grants and the requests under way, and returns the releases to send.
    std::vector<AddressedMessage> release(const std::vector<ResourceId> &resources);

    /// Notices leases that lapsed by now, and returns all changes since the last call.
    std::vector<LeaseChange> takeChanges();

    /// Makes an acquisition count in holds(). False when it has ended already.
    bool activate(const LeaseChange &gained);

    /// True while the lease on the resource is valid and active. Reads the clock.
    bool holds(const ResourceId &resource) const;

    /// Resources that holds() is true for.
    std::vector<ResourceId> held() const;

    /// State of the requests for a resource; nothing when it was not asked for since its last release.
    std::optional<LeaseProgress> progress(const ResourceId &resource) const;

    /// The panel of a resource in the present list.
    Panel panel(const ResourceId &resource);

private:
    /// Until when a voter grants a resource to nobody else than this candidate or holder.
    struct Binding
    {
        InstanceId competitor;
        TimePoint until;
    };
    struct Lease
    {
        Panel panel;
        /// Sending time of the newest granted request, for each voter.
        std::map<InstanceId, TimePoint> grants;
        /// Voters that are bound to another candidate or holder.
        std::map<InstanceId, Binding> bound;
        /// Until when a quorum of the panel has granted.
        TimePoint validUntil;
        TimePoint askedSince;
        /// Number of the present acquisition, 0 while the resource is not held.
        std::uint64_t acquisition = 0;
        bool active = false;
    };
    struct Pending
    {
        InstanceId voter;
        TimePoint sent;
        std::set<ResourceId> resources;
    };

    void recount(Lease &lease) const;
    std::size_t liveGrants(const Lease &lease, TimePoint now) const;
    void noticeLapse(const ResourceId &resource, Lease &lease, TimePoint now);
    void noticeGain(const ResourceId &resource, Lease &lease, TimePoint now);
    Lease &leaseFor(const ResourceId &resource, TimePoint now);
    const Panel &panelLocked(const ResourceId &resource);
    void applyGrant(const ResourceId &resource, const InstanceId &voter, TimePoint sent, TimePoint now);
    void prunePending(TimePoint now);

    const LeaseSettings settings;
    const Clock &clock;
    mutable std::mutex mutex;
    std::shared_ptr<const InstanceList> list;
    ValueVersion listVersion;
    std::uint64_t lastRequest;
    std::uint64_t lastAcquisition = 0;
    std::map<ResourceId, Lease> leases;
    std::map<ResourceId, Panel> panels;
    std::map<std::uint64_t, Pending> pending;
    std::vector<LeaseChange> changes;
};

}
