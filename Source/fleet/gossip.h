#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "core/timerservice.h"
#include "feed/feedfreshness.h"
#include "feed/restorationexchange.h"
#include "fleet/activeinstanceset.h"

#include <functional>

namespace Lycheewall
{

/// Sends datagrams to other instances. Thread safety: none; used on the thread of the request loop.
class DatagramSender
{
public:
    virtual ~DatagramSender() = default;

    /// Sends without blocking. The datagram may be lost. @p address has the form "ip:port".
    virtual void send(const std::string &address, const std::string &bytes) = 0;
};

struct GossipSettings
{
    InstanceId instance;
    ZoneId zone;
    std::string callerAddress;
    std::string peerAddress;
    /// Peer addresses of the instances that are contacted at the start.
    std::vector<std::string> seeds;
    /// Time between two gossip rounds while no update is urgent.
    Duration period = Milliseconds(500);
    /// Time between two gossip rounds while an organisation is close to its limit, and during the join period.
    Duration urgentPeriod = Milliseconds(100);
    Duration urgentPeriodInLargeFleet = Milliseconds(100);
};

/**
 * Distributes the state of each instance in the fleet: readiness, age of its feed data and usage of the quotas. In a
 * small fleet each instance sends its messages to all others. In a larger fleet each sends to a few others and
 * piggybacks recent messages of further instances, so that the traffic of an instance does not grow with the fleet.
 * Each zone sends only a few of these messages to each other availability zone. Active instances also report their
 * admitted requests and the endpoints that they observe to be slow directly to other active instances.
 * Thread safety: none; used on the thread of the request loop.
 */
class Gossip
{
public:
    /// The references must outlive the Gossip object.
    struct Context
    {
        const Clock &clock;
        TimerService &timers;
        Random &random;
        Counters &counters;
        DatagramSender &sender;
        MemberTable &members;
        OrganisationQuota &quota;
        FeedFreshness &freshness;
        RestorationExchange &restoration;
        EndpointSet &endpoints;
        ActiveInstanceSet &activeInstances;
        /// Called after each change of the number of live or known instances.
        std::function<void()> fleetChanged;
        /// Returns the CPU usage of this instance.
        std::function<CpuUsage()> cpuUsage;
        /// Returns the requests per second of this instance's callers.
        std::function<double()> requestsPerSecond;
        /// Returns true while this instance reads the store itself.
        std::function<bool()> readsStore;
    };

    Gossip(const GossipSettings &settings, Context context);

    /// Precondition: called once.
    void start();

    /// Sends the new state to the other instances immediately.
    void setState(MemberState state);
    MemberState state() const;

    void setSeeds(const std::vector<std::string> &seeds);

    /// Handles a gossip message of another instance. A malformed message is counted and ignored.
    void handleDatagram(const std::string &bytes);

    /// True after the join period, when the other instances know this one.
    bool hasJoined() const;

private:
    GossipMessage buildMessage();
    void tick();
    void sendRound();
    bool isUrgent() const;
    Duration currentPeriod() const;
    std::vector<std::string> selectTargets();
    /// Those of @p addresses that belong to no live member, without this instance's own address.
    std::vector<std::string> nonLiveAddresses(const std::vector<std::string> &addresses) const;
    /// Addresses of unreachable members, and of seeds that are not live.
    std::vector<std::string> addressesToProbe() const;
    /// Random peers of this instance's zone, and for each other zone one random peer with a certain probability.
    std::vector<std::string> samplePeersByZone();
    /// Random other active instances; empty if this instance is not active or the fleet is small.
    std::vector<std::string> sampleActivePeers();
    void expireMembers();
    /// Random addresses of live members, for peer discovery.
    std::vector<std::string> sampleLiveAddresses();
    void sendToAll(const std::vector<std::string> &addresses, const GossipMessage &message);
    void pingOverdueMembers();
    /// Random messages among the most recent ones of other instances; empty in a small fleet.
    std::vector<PiggybackedMessage> samplePiggybacked();
    /// Applies a message to all components that use it. @p age is an upper bound of the time since it was sent.
    MemberUpdate applyMessage(GossipMessage message, Duration age);
    /// Sends the state of this instance, with known addresses if @p withAddresses is true.
    void reply(const std::string &address, bool withAddresses);
    /// Evaluates what a message says about a store that has come back from an older copy.
    void applyRestoration(const GossipMessage &message, Duration age);
    void contactUnknownAddresses(const std::vector<std::string> &addresses);

    GossipSettings settings;
    Context context;
    std::uint64_t incarnation;
    TimePoint startedAt;
    MemberState currentState = MemberState::Starting;
    std::uint64_t rounds = 0;
    TimePoint lastRoundAt;
    Subscription timer;
};

}
