#pragma once

#include "catalogue/instancelist.h"
#include "configuration/platformreader.h"
#include "core/clock.h"
#include "peer/codec/messages.h"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

namespace Lycheewall
{

/// What is believed of a listed instance. Votes on leases decide; these states only guide planning.
enum class PeerHealth {
    /// Not listed, or listed for less than PeerTable::deadAfter and not heard yet.
    Unknown,
    Alive,
    /// Nothing heard for PeerTable::suspectAfter, or its link broke.
    Suspect,
    /// Nothing heard for PeerTable::deadAfter.
    Dead,
    /// Heard lately, but it or the list says that it leaves.
    Leaving
};

/// An instance that callers may connect to.
struct ReadyInstance
{
    InstanceId id;
    ZoneId zone;
    std::string callerAddress;
};

/**
 * What is known of the other instances from the instance list and from their traffic.
 * Thread safety: any thread.
 */
class PeerTable
{
public:
    static constexpr Duration suspectAfter = Milliseconds(1500);
    static constexpr Duration deadAfter = Milliseconds(3000);

    PeerTable(const Clock &timeSource, InstanceId selfId);

    /// Adopts an instance list. A list with a lower version than the present one is ignored. Peers that are no longer
    /// listed are forgotten.
    void setList(std::shared_ptr<const InstanceList> newList, ValueVersion version);

    /// Notes that a message from a peer arrived now.
    void heard(const InstanceId &peer);

    /// Notes what a peer says of itself. A changed incarnation resets what was known of the peer.
    void gossip(const InstanceId &peer, const Gossip &message);

    /// Notes that the link to a peer broke: the peer is suspect until it is heard again.
    void linkLost(const InstanceId &peer);

    /// State that this instance announces; it counts in ready().
    void setSelf(InstanceState state);

    PeerHealth health(const InstanceId &peer) const;

    /// True when the instance may take leases: alive, listed as live, announced as ready and not with an older instance
    /// list than this one, because voters refuse requests made with an older list. Valid for self also.
    bool mayOwn(const InstanceId &instance) const;

    /// True while a live peer announces a newer instance list than the present one here.
    bool listIsStale() const;

    /// The listed instances without this one, in the order of the list.
    std::vector<InstanceId> peers() const;

    /// Instances for callers: this one when ready, and the live peers that are.
    std::vector<ReadyInstance> ready() const;

    /// The live peer that most recently announced a lease on the resource.
    std::optional<InstanceId> announcedHolder(const ResourceId &resource) const;

    /// Endpoints that a live peer runs below their full concurrency.
    std::set<EndpointId> coldEndpoints() const;

    /// Highest version of a value that a peer announced, and that peer. Version 0 when none was announced.
    std::pair<ValueVersion, InstanceId> newest(ValueName name) const;

private:
    struct Peer
    {
        std::optional<TimePoint> lastHeard;
        TimePoint listedSince;
        bool linkBroken = false;
        std::optional<Gossip> said;
    };
    struct Claim
    {
        InstanceId holder;
        TimePoint at;
    };

    PeerHealth healthOf(const InstanceId &id, const Peer &peer) const;
    bool isReady(const ListedInstance &listed) const;
    void note(Peer &peer);
    void dropClaims(const InstanceId &id, const Peer &peer);

    const Clock &clock;
    const InstanceId self;
    mutable std::mutex mutex;
    std::shared_ptr<const InstanceList> list;
    ValueVersion listVersion;
    InstanceState selfState = InstanceState::Starting;
    std::unordered_map<InstanceId, Peer> peerById;
    std::unordered_map<ResourceId, Claim> claims;
};

}
