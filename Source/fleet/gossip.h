#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "core/timerservice.h"
#include "feed/feedfreshness.h"
#include "fleet/activeinstanceset.h"

#include <functional>

namespace Lycheewall
{

/// Sends datagrams to other instances. Thread safety: none; used on the thread of the request loop.
class DatagramSender
{
public:
    virtual ~DatagramSender() = default;

    /// Sends without waiting; the datagram may be lost. @p address is host:port.
    virtual void send(const std::string &address, const std::string &bytes) = 0;
};

struct GossipSettings
{
    InstanceId instance;
    ZoneId zone;
    std::string callerAddress;
    std::string peerAddress;
    /// Peer addresses of instances that are asked at the start.
    std::vector<std::string> seeds;
    /// Time between two messages to the same instance while nothing is urgent.
    Duration period = Milliseconds(500);
    /// Time between messages while an organisation is close to its limit.
    Duration urgentPeriod = Milliseconds(100);
    Duration urgentPeriodInLargeFleet = Milliseconds(100);
};

/**
 * Keeps the instances of the fleet informed of each other: state, freshness, use of quotas. In a small fleet each tells
 * all others; in a larger one each tells a few others, and passes on what some more have said, so that its cost does
 * not grow with the fleet. Of these messages, only a few a zone go to other availability zones. Instances that carry
 * work tell each other directly what they admit and which endpoints they find slow. Thread safety: none;
 * used on the thread of the request loop.
 */
class Gossip
{
public:
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
        EndpointSet &endpoints;
        ActiveInstanceSet &activeInstances;
        /// Called after each change of the number of instances.
        std::function<void()> fleetChanged;
        /// This instance's processor.
        std::function<CpuUsage()> cpuUsage;
        /// True while this instance reads the store itself.
        std::function<bool()> readsStore;
    };

    Gossip(const GossipSettings &settings, Context context);

    /// Precondition: called once.
    void start();

    /// Tells the others at once.
    void setState(MemberState state);
    MemberState state() const;

    void setSeeds(const std::vector<std::string> &seeds);

    void handleDatagram(const std::string &bytes);

    /// True once the start is so long ago that the others know this instance.
    bool hasJoined() const;

private:
    GossipMessage compose() const;
    void tick();
    void tellAll();
    bool isUrgent() const;
    Duration currentPeriod() const;
    std::vector<std::string> targets();
    /// Those of @p addresses from which nothing is heard; the own address is left out.
    std::vector<std::string> unheard(const std::vector<std::string> &addresses) const;
    /// Silent instances, and seeds that are not heard from.
    std::vector<std::string> addressesToProbe() const;
    /// Some instances of the own zone, and now and then one of each other zone.
    std::vector<std::string> someOfEachZone();
    /// The other instances that carry work, when this one does and the fleet is large.
    std::vector<std::string> othersThatCarryWork();
    void sweep();
    /// Addresses for an instance that has just started.
    std::vector<std::string> someAddresses();
    void sendAll(const std::vector<std::string> &addresses, const GossipMessage &message);
    void askQuietOnes();
    std::vector<PiggybackedMessage> someOthers();
    /// Returns true if an instance appeared.
    bool take(const GossipMessage &message, Duration age);
    void contactUnknown(const std::vector<std::string> &addresses);

    GossipSettings settings;
    Context context;
    std::uint64_t incarnation;
    TimePoint startedAt;
    MemberState current = MemberState::Starting;
    std::uint64_t ticks = 0;
    TimePoint toldAt;
    Subscription timer;
};

}
