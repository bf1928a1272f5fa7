#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "lease/leaseholder.h"
#include "lease/leasevoter.h"
#include "lease/ownership.h"
#include "lease/ownershipplanner.h"
#include "membership/peertable.h"
#include "peer/codec/peertransport.h"

#include <deque>
#include <functional>

namespace Lycheewall
{

/**
 * Leases of this instance: votes for others, and asks for, renews, hands over and releases its own.
 * Callbacks run one at a time and in order, in the thread of a timer or of handle(), without a lock held. While a
 * Lost callback is due, owns() is false; when a Gained callback runs, owns() is already true.
 * Thread safety: any thread, except that callbacks are set before start().
 */
class LeaseService : public Ownership
{
public:
    /// Wait between a release by another instance and the request of its successor.
    static constexpr Duration askAfterRelease = Milliseconds(10);

    using ResourceCallback = std::function<void(ResourceId)>;

    /// @p cutOffTest must be callable from any thread and take no lock that is held while this class is called.
    LeaseService(LeaseSettings times,
                 const Clock &timeSource,
                 TimerService &timerService,
                 PeerTransport &peerTransport,
                 PeerTable &peerTable,
                 Counters &counterRegistry,
                 InstanceId selfId,
                 std::function<bool()> cutOffTest);

    /// Starts renewing. Voting works from the construction on, after one period of silence.
    void start();

    /// Adopts an instance list for panels and votes. Does not touch the peer table.
    void setList(std::shared_ptr<const InstanceList> list, ValueVersion version);

    /// All resources of the catalogue.
    void setResources(const std::vector<ResourceId> &resources);

    /// Whether this instance may take leases.
    void setReady(bool ready);

    /// Version that lease replies carry.
    void setCatalogueVersion(ValueVersion version);

    void handle(const InstanceId &from, const LeaseRequest &request);
    void handle(const InstanceId &from, const LeaseReply &reply);
    void handle(const InstanceId &from, const LeaseRelease &release);

    bool owns(const ResourceId &resource) const override;

    /// Best guess where to send work: this instance when it owns the resource, else the announced holder, else the
    /// highest-ranked live instance. Empty when the resource has no live candidate.
    std::optional<InstanceId> holder(const ResourceId &resource) const;

    /// The id of this instance.
    const InstanceId &instance() const;

    /// Leases that are valid now, those being handed over included. For gossip.
    std::vector<ResourceId> held() const;

    /// Called after a lease was taken. State of an earlier tenure must not be used again.
    void onGained(ResourceCallback callback);
    /// Called after a lease ended, by expiry or by handoverDone().
    void onLost(ResourceCallback callback);
    /// Asks to stop taking work for a resource, and to call handoverDone() when nothing runs and connections are
    /// closed. The lease is renewed and owns() stays true until then.
    void onHandover(ResourceCallback callback);

    /// Releases a lease. Does nothing when the resource is not being handed over.
    void handoverDone(const ResourceId &resource);

    /// Hands over everything and asks for nothing more; votes go on.
    void leave();

    /// True when no lease is held.
    bool idle() const;

private:
    void round();
    void askAgain();
    void send(const std::vector<AddressedMessage> &messages);
    void deliver(const AddressedMessage &addressed);
    void notifyHandover(const std::vector<ResourceId> &resources);
    void dispatchChanges();
    void dispatch(const LeaseChange &change);

    const LeaseSettings settings;
    TimerService &timers;
    PeerTransport &transport;
    PeerTable &peers;
    Counters &counters;
    const InstanceId self;
    const std::function<bool()> cutOff;
    LeaseVoter voter;
    mutable LeaseHolder leases;
    OwnershipPlanner planner;
    ResourceCallback gained;
    ResourceCallback lost;
    ResourceCallback handover;
    mutable std::mutex mutex;
    std::set<ResourceId> handingOver;
    /// Resources whose Gained callback ran and whose Lost callback has not.
    std::set<ResourceId> announced;
    ValueVersion catalogueVersion;
    std::deque<LeaseChange> queue;
    bool dispatching = false;
    bool askDue = false;
    Subscription askTimer;
    Subscription renewTimer;
    Subscription lapseTimer;
};

}
