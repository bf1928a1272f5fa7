#include "feed/feedplan.h"
#include "fleet/callerdirectory.h"
#include "fleet/gossip.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FleetTest)

namespace
{

FleetMessage messageOf(const std::string &instance, MemberState state = MemberState::Ready)
{
    FleetMessage message;
    message.instance = InstanceId(instance);
    message.incarnation = 1;
    message.state = state;
    message.zone = ZoneId("z-" + instance);
    message.callerAddress = "caller-" + instance;
    message.peerAddress = "peer-" + instance;
    message.feedAgeMs = 100;
    return message;
}

/// Instances that exchange datagrams; a datagram reaches its receiver unless one of both is cut off.
class FakeFleet
{
public:
    explicit FakeFleet(std::size_t size, std::size_t seeds, std::size_t zones = 1)
        : zoneCount(zones)
    {
        for (std::size_t number = 0; number < size; ++number) {
            this->add(number, seeds);
        }
        for (const auto &[name, node] : this->nodes) {
            node->gossip->start();
        }
    }

    struct Node : public DatagramSender
    {
        explicit Node(FakeFleet &owner, const std::string &nodeName)
            : fleet(owner)
            , name(nodeName)
            , members(owner.clock, InstanceId(nodeName))
            , quota(owner.clock)
            , freshness(owner.clock)
            , serving(this->members, this->own)
        {
            this->own.instance = InstanceId(this->name);
            this->own.zone = ZoneId(owner.zoneOf(this->name));
        }
        void send(const std::string &address, const std::string &bytes) override
        {
            this->sentBytes += bytes.size();
            if (this->fleet.zoneOf(address.substr(5)) != this->fleet.zoneOf(this->name)) {
                this->sentToOtherZones += bytes.size();
            }
            this->fleet.deliver(this->name, address.substr(5), bytes);
        }

        FakeFleet &fleet;
        std::string name;
        Random random { 3 };
        Counters counters;
        MemberTable members;
        OrganisationQuota quota;
        FeedFreshness freshness;
        EndpointSet endpoints;
        ServingInstance own;
        ServingSet serving;
        std::unique_ptr<Gossip> gossip;
        std::size_t sentBytes = 0;
        std::size_t sentToOtherZones = 0;
    };

    Node &node(std::size_t number)
    {
        return *this->nodes.at(std::to_string(number));
    }
    void advance(Duration step)
    {
        this->clock.advance(step);
    }
    void cut(std::size_t number)
    {
        this->cutOff.insert(std::to_string(number));
    }
    void heal()
    {
        this->cutOff.clear();
    }
    std::string zoneOf(const std::string &name) const
    {
        return "z" + std::to_string(std::stoul(name) % this->zoneCount);
    }
    std::vector<Node *> all()
    {
        std::vector<Node *> result;
        for (const auto &[name, node] : this->nodes) {
            result.push_back(node.get());
        }
        return result;
    }

    ManualClock clock;

private:
    void add(std::size_t number, std::size_t seeds)
    {
        const std::string name = std::to_string(number);
        auto node = std::make_unique<Node>(*this, name);
        GossipSettings settings;
        settings.instance = InstanceId(name);
        settings.zone = ZoneId(this->zoneOf(name));
        settings.callerAddress = "caller-" + name;
        settings.peerAddress = "peer-" + name;
        for (std::size_t seed = 0; seed < seeds; ++seed) {
            settings.seeds.push_back("peer-" + std::to_string(seed));
        }
        node->gossip = std::make_unique<Gossip>(settings,
                                                Gossip::Context { this->clock,
                                                                  this->clock,
                                                                  node->random,
                                                                  node->counters,
                                                                  *node,
                                                                  node->members,
                                                                  node->quota,
                                                                  node->freshness,
                                                                  node->endpoints,
                                                                  node->serving,
                                                                  [] {},
                                                                  [] { return ProcessorShare(); },
                                                                  [] {
                                                                      return false;
                                                                  } });
        this->nodes[name] = std::move(node);
    }

    void deliver(const std::string &from, const std::string &to, const std::string &bytes)
    {
        if (this->cutOff.count(from) > 0 || this->cutOff.count(to) > 0 || this->nodes.count(to) == 0) {
            return;
        }
        this->timers.push_back(
            this->clock.after(Milliseconds(1), [this, to, bytes] { this->nodes[to]->gossip->received(bytes); }));
    }

    std::size_t zoneCount;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::set<std::string> cutOff;
    std::vector<Subscription> timers;
};

}

// Guards against a message that another version or another program sent.
BOOST_AUTO_TEST_CASE(messageSurvivesTheWire)
{
    FleetMessage message = messageOf("a", MemberState::Leaving);
    message.use = { { OrganisationId("org"), 17, 3 } };
    message.slow = { { EndpointId("endpoint"), 4.5 } };
    message.known = { "peer-b" };
    message.readsStore = true;
    message.processor = { 0.5, 0.125 };
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded.value().state == MemberState::Leaving));
    BOOST_TEST(decoded.value().use.at(0).admitted == 17U);
    BOOST_TEST(decoded.value().use.at(0).recent == 3U);
    BOOST_TEST(decoded.value().known.at(0) == "peer-b");
    BOOST_TEST(decoded.value().readsStore);
    BOOST_TEST((decoded.value().slow.at(0).endpoint == EndpointId("endpoint")));
    BOOST_TEST(decoded.value().slow.at(0).slowness == 4.5);
    BOOST_TEST(decoded.value().processor.available == 0.5);
    BOOST_TEST(decoded.value().processor.used == 0.125);
    BOOST_TEST((decodeFleetMessage("garbage").error() == FleetMessageError::NotCbor));
    BOOST_TEST((decodeFleetMessage("\xa1\x61v\x01").error() == FleetMessageError::WrongVersion));
    BOOST_TEST((decodeFleetMessage("\xa1\x61v\x02").error() == FleetMessageError::FieldMissing));
}

// Guards against instances that never hear of each other: all know a few seeds only.
BOOST_AUTO_TEST_CASE(instancesFindEachOtherThroughSeeds)
{
    FakeFleet fleet(8, 3);
    fleet.advance(Milliseconds(1000));
    for (std::size_t number = 0; number < 8; ++number) {
        BOOST_TEST(fleet.node(number).members.heardCount() == 8U);
    }
}

// Guards against a dead instance that stays in the directory, and against one that is forgotten while it may serve.
BOOST_AUTO_TEST_CASE(silentInstanceIsNoticedAndReturns)
{
    FakeFleet fleet(4, 3);
    fleet.advance(Milliseconds(3000));
    fleet.cut(3);
    fleet.advance(Milliseconds(2500));
    BOOST_TEST(fleet.node(0).members.heardCount() == 3U);
    BOOST_TEST(fleet.node(0).members.possibleCount() == 4U);
    BOOST_TEST(fleet.node(3).members.heardCount() == 1U);
    fleet.heal();
    fleet.advance(Milliseconds(2500));
    BOOST_TEST(fleet.node(0).members.heardCount() == 4U);
    BOOST_TEST(fleet.node(3).members.heardCount() == 4U);
}

// Guards against messages that grow with the square of the fleet, as each instance may use 20 KB/s for control, and
// against instances that seem silent because only a few tell this one of themselves.
BOOST_AUTO_TEST_CASE(messagesOfAnInstanceDoNotGrowWithTheFleet)
{
    FakeFleet fleet(80, 3);
    fleet.advance(Milliseconds(4000));
    const std::size_t before = fleet.node(40).sentBytes;
    for (int second = 0; second < 10; ++second) {
        fleet.advance(std::chrono::seconds(1));
        BOOST_TEST(fleet.node(40).members.heardCount() == 80U);
    }
    BOOST_TEST(static_cast<double>(fleet.node(40).sentBytes - before) / 10 <= 20'000);
    fleet.cut(7);
    fleet.advance(std::chrono::seconds(6));
    BOOST_TEST(fleet.node(40).members.heardCount() == 79U);
}

namespace
{

constexpr std::size_t largeFleet = 76;
constexpr std::size_t manyOrganisations = 80;
/// Requests of one organisation a second and its burst in the tests of a large fleet.
constexpr double hotRate = 30;
constexpr double hotBurst = 30;

OrganisationId organisationNumber(std::size_t number)
{
    return OrganisationId("organisation-" + std::to_string(number));
}

/// Limits of all organisations at each instance of the fleet.
void limitOrganisations(FakeFleet &fleet)
{
    std::map<OrganisationId, OrganisationSpec> specs;
    for (std::size_t number = 0; number < manyOrganisations; ++number) {
        OrganisationSpec spec;
        spec.id = organisationNumber(number);
        spec.ratePerSecond = hotRate;
        spec.burst = hotBurst;
        specs[spec.id] = spec;
    }
    for (FakeFleet::Node *node : fleet.all()) {
        node->quota.setLimits(specs);
    }
}

/// A load of @p perSecond requests of one organisation at random instances. Returns the times of the admitted ones.
std::vector<double>
loadOneOrganisation(FakeFleet &fleet, const OrganisationId &organisation, int seconds, int perSecond)
{
    Random random(11);
    std::vector<double> admittedAt;
    const auto nodes = fleet.all();
    for (int request = 0; request < seconds * perSecond; ++request) {
        fleet.advance(fromSeconds(1.0 / perSecond));
        if (!nodes[random.below(nodes.size())]->quota.refusal(organisation)) {
            admittedAt.push_back(static_cast<double>(request) / perSecond);
        }
    }
    return admittedAt;
}

std::size_t mostInWindow(const std::vector<double> &moments, double window)
{
    std::size_t most = 0;
    std::size_t begin = 0;
    for (std::size_t end = 0; end < moments.size(); ++end) {
        while (moments[end] - moments[begin] > window) {
            ++begin;
        }
        most = std::max(most, end - begin + 1);
    }
    return most;
}

}

// Guards against messages that list the whole history of each organisation, ten times a second, as soon as one
// organisation is close to its limit: an instance may use 20 KB/s for control.
BOOST_AUTO_TEST_CASE(messagesStaySmallWhileAnOrganisationIsAtItsLimit)
{
    FakeFleet fleet(largeFleet, 3, 4);
    limitOrganisations(fleet);
    fleet.advance(Milliseconds(4000));
    for (FakeFleet::Node *node : fleet.all()) {
        for (std::size_t number = 0; number < manyOrganisations; ++number) {
            node->quota.refusal(organisationNumber(number));
        }
    }
    fleet.advance(std::chrono::seconds(8));
    std::size_t before = 0;
    for (const FakeFleet::Node *node : fleet.all()) {
        before += node->sentBytes;
    }
    loadOneOrganisation(fleet, organisationNumber(0), 5, 150);
    std::size_t sent = 0;
    for (const FakeFleet::Node *node : fleet.all()) {
        sent += node->sentBytes;
    }
    BOOST_TEST_MESSAGE("KB/s an instance: " << static_cast<double>(sent - before) / 5 / 1000 / largeFleet);
    BOOST_TEST(static_cast<double>(sent - before) / 5 / largeFleet <= 20'000);
}

// Guards against a start of the whole fleet in which each instance sends all addresses to each other one: an instance
// may use 20 KB/s for control.
BOOST_AUTO_TEST_CASE(startOfALargeFleetNeedsFewBytes)
{
    FakeFleet fleet(largeFleet, 3, 4);
    fleet.advance(Milliseconds(5000));
    std::size_t sent = 0;
    std::size_t crossed = 0;
    for (const FakeFleet::Node *node : fleet.all()) {
        sent += node->sentBytes;
        crossed += node->sentToOtherZones;
    }
    BOOST_TEST_MESSAGE("KB an instance in the first 5 s: " << static_cast<double>(sent) / 1000 / largeFleet
                                                           << ", to other zones: "
                                                           << static_cast<double>(crossed) / 1000 / largeFleet);
    BOOST_TEST(static_cast<double>(sent) / largeFleet <= 5 * 20'000);
    // The users' traffic starts 14 s after the machines.
    fleet.advance(Milliseconds(2000));
    for (const FakeFleet::Node *node : fleet.all()) {
        BOOST_TEST(node->members.heardCount() == largeFleet);
    }
}

// Guards against a fleet whose messages cross availability zones as often as chance has it: such bytes are dear.
BOOST_AUTO_TEST_CASE(mostMessagesStayInTheirZone)
{
    FakeFleet fleet(largeFleet, 3, 4);
    fleet.advance(Milliseconds(7000));
    std::size_t sentBefore = 0;
    std::size_t crossedBefore = 0;
    for (const FakeFleet::Node *node : fleet.all()) {
        sentBefore += node->sentBytes;
        crossedBefore += node->sentToOtherZones;
    }
    for (int second = 0; second < 20; ++second) {
        fleet.advance(std::chrono::seconds(1));
        for (const FakeFleet::Node *node : fleet.all()) {
            BOOST_TEST(node->members.heardCount() == largeFleet);
        }
    }
    std::size_t sent = 0;
    std::size_t crossed = 0;
    for (const FakeFleet::Node *node : fleet.all()) {
        sent += node->sentBytes;
        crossed += node->sentToOtherZones;
    }
    BOOST_TEST_MESSAGE("KB/s an instance: " << static_cast<double>(sent - sentBefore) / 20 / 1000 / largeFleet
                                            << ", to other zones: "
                                            << static_cast<double>(crossed - crossedBefore) / 20 / 1000 / largeFleet);
    // With receivers chosen at random, three quarters of the bytes cross zones; at most half of that is allowed.
    BOOST_TEST(8 * (crossed - crossedBefore) <= 3 * (sent - sentBefore));
}

// Guards against an organisation that gets several times its rate because a large fleet hears of its use too late. The
// bound is the platform's: a quarter and 20 requests above rate and burst in 5 seconds.
BOOST_AUTO_TEST_CASE(largeFleetKeepsAnOrganisationToItsRate)
{
    FakeFleet fleet(largeFleet, 3, 4);
    limitOrganisations(fleet);
    fleet.advance(Milliseconds(6000));
    const auto admittedAt = loadOneOrganisation(fleet, organisationNumber(0), 20, 200);
    BOOST_TEST_MESSAGE("admitted in 5 s: " << mostInWindow(admittedAt, 5) << ", in 20 s: " << admittedAt.size());
    BOOST_TEST(static_cast<double>(mostInWindow(admittedAt, 5)) <= (5 * hotRate + hotBurst) * 1.25 + 20);
    BOOST_TEST(static_cast<double>(admittedAt.size()) >= 0.85 * 20 * hotRate);
}

// Guards against callers that are sent to an instance that is dead, not ready or leaving, or far away without need.
BOOST_AUTO_TEST_CASE(directoryNamesReadyInstancesOfTheZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"));
    ServingInstance own;
    own.instance = InstanceId("self");
    own.zone = ZoneId("z-self");
    own.callerAddress = "own";
    own.ready = true;
    ServingSet serving(members, own);
    CallerDirectory directory(serving);
    members.heard(messageOf("a"));
    members.heard(messageOf("b", MemberState::Leaving));
    members.heard(messageOf("c", MemberState::Starting));
    BOOST_TEST((directory.addresses(ZoneId("z-self")) == std::vector<std::string> { "own" }));
    BOOST_TEST((directory.addresses(ZoneId("z-a")) == std::vector<std::string> { "caller-a" }));
    BOOST_TEST((directory.addresses(ZoneId("z-b")) == std::vector<std::string> { "own", "caller-a" }));
    clock.advance(std::chrono::seconds(2));
    members.sweep();
    BOOST_TEST((directory.addresses(ZoneId("z-a")) == std::vector<std::string> { "own" }));
}

// Guards against a store that all instances read, and against one that nobody reads.
BOOST_AUTO_TEST_CASE(oneInstanceReadsTheStore)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"));
    FeedPlan plan(members, InstanceId("m"), ZoneId("z"), [](const std::string &) { return nullptr; });
    BOOST_TEST(plan.readsStore());
    FleetMessage reader = messageOf("a");
    reader.readsStore = true;
    members.heard(reader);
    BOOST_TEST(!plan.readsStore());
    BOOST_TEST((plan.peers().at(0).instance == InstanceId("a")));
    // A reader that the store turns away grows old and is not relied on.
    reader.feedAgeMs = 3000;
    members.heard(reader);
    BOOST_TEST(plan.readsStore());
    BOOST_TEST(plan.peers().empty());
    // A later one in the order of ids gives way to this one.
    FleetMessage later = messageOf("z");
    later.readsStore = true;
    members.heard(later);
    BOOST_TEST(plan.readsStore());
}

// Guards against a configuration that crosses availability zones once for each instance of a large fleet, and against
// a zone that hears nothing when its first instance is behind.
BOOST_AUTO_TEST_CASE(instancesFollowOneOfTheirZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"));
    FeedPlan plan(members, InstanceId("m"), ZoneId("near"), [](const std::string &) { return nullptr; });
    FleetMessage reader = messageOf("a");
    reader.readsStore = true;
    reader.zone = ZoneId("far");
    members.heard(reader);
    FleetMessage first = messageOf("f");
    first.zone = ZoneId("near");
    members.heard(first);
    BOOST_TEST((plan.peers().at(0).instance == InstanceId("a")));
    for (std::size_t number = 0; number < smallFleet; ++number) {
        FleetMessage other = messageOf("n" + std::to_string(number));
        other.zone = ZoneId("near");
        members.heard(other);
    }
    BOOST_TEST((plan.peers().at(0).instance == InstanceId("f")));
    BOOST_TEST((plan.peers().at(1).instance == InstanceId("a")));
    first.feedAgeMs = 3000;
    members.heard(first);
    BOOST_TEST((plan.peers().at(0).instance == InstanceId("a")));
}

// Guards against a fleet in which each instance that carries work has to find out about a slow endpoint by itself.
BOOST_AUTO_TEST_CASE(instancesThatCarryWorkTellOfSlowEndpoints)
{
    FakeFleet fleet(largeFleet, 3, 4);
    EndpointRecord record;
    record.id = EndpointId("endpoint");
    record.service = ServiceId("service");
    for (FakeFleet::Node *node : fleet.all()) {
        node->endpoints.put(record, fleet.clock.now());
        node->own.ready = true;
        node->gossip->setState(MemberState::Ready);
    }
    fleet.advance(Milliseconds(5000));
    const auto carrying = fleet.node(0).serving.ofAllZones();
    BOOST_REQUIRE(carrying.size() == 8U);
    EndpointStats &stats = fleet.node(std::stoul(carrying[0].instance.value())).endpoints.find(record.id)->stats;
    for (int probe = 0; probe < 4; ++probe) {
        const auto token = stats.started(fleet.clock.now(), Milliseconds(10));
        fleet.advance(Milliseconds(300));
        stats.answered(token, fleet.clock.now());
    }
    fleet.advance(Milliseconds(600));
    for (std::size_t other = 1; other < carrying.size(); ++other) {
        FakeFleet::Node &node = fleet.node(std::stoul(carrying[other].instance.value()));
        BOOST_TEST(node.endpoints.find(record.id)->stats.isSuspect(fleet.clock.now()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
