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
    explicit FakeFleet(std::size_t size, std::size_t seeds)
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
        {
        }
        void send(const std::string &address, const std::string &bytes) override
        {
            this->sentBytes += bytes.size();
            this->fleet.deliver(this->name, address.substr(5), bytes);
        }

        FakeFleet &fleet;
        std::string name;
        Random random { 3 };
        Counters counters;
        MemberTable members;
        OrganisationQuota quota;
        FeedFreshness freshness;
        std::unique_ptr<Gossip> gossip;
        std::size_t sentBytes = 0;
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

    ManualClock clock;

private:
    void add(std::size_t number, std::size_t seeds)
    {
        const std::string name = std::to_string(number);
        auto node = std::make_unique<Node>(*this, name);
        GossipSettings settings;
        settings.instance = InstanceId(name);
        settings.zone = ZoneId("z");
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
                                                                  [] {},
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

    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::set<std::string> cutOff;
    std::vector<Subscription> timers;
};

}

// Guards against a message that another version or another program sent.
BOOST_AUTO_TEST_CASE(messageSurvivesTheWire)
{
    FleetMessage message = messageOf("a", MemberState::Leaving);
    message.use = { { OrganisationId("org"), 17 } };
    message.known = { "peer-b" };
    message.readsStore = true;
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded.value().state == MemberState::Leaving));
    BOOST_TEST(decoded.value().use.at(0).admitted == 17U);
    BOOST_TEST(decoded.value().known.at(0) == "peer-b");
    BOOST_TEST(decoded.value().readsStore);
    BOOST_TEST((decodeFleetMessage("garbage").error() == FleetMessageError::NotCbor));
    BOOST_TEST((decodeFleetMessage("\xa1\x61v\x02").error() == FleetMessageError::WrongVersion));
    BOOST_TEST((decodeFleetMessage("\xa1\x61v\x01").error() == FleetMessageError::FieldMissing));
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

// Guards against callers that are sent to an instance that is dead, not ready or leaving, or far away without need.
BOOST_AUTO_TEST_CASE(directoryNamesReadyInstancesOfTheZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"));
    const CallerDirectory directory(members);
    const OwnAddress own { "own", ZoneId("z-self"), true };
    members.heard(messageOf("a"));
    members.heard(messageOf("b", MemberState::Leaving));
    members.heard(messageOf("c", MemberState::Starting));
    BOOST_TEST((directory.addresses(own, ZoneId("z-self")) == std::vector<std::string> { "own" }));
    BOOST_TEST((directory.addresses(own, ZoneId("z-a")) == std::vector<std::string> { "caller-a" }));
    BOOST_TEST((directory.addresses(own, ZoneId("z-b")) == std::vector<std::string> { "own", "caller-a" }));
    clock.advance(std::chrono::seconds(2));
    members.sweep();
    BOOST_TEST((directory.addresses(own, ZoneId("z-a")) == std::vector<std::string> { "own" }));
}

// Guards against a store that all instances read, and against one that nobody reads.
BOOST_AUTO_TEST_CASE(oneInstanceReadsTheStore)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"));
    FeedPlan plan(members, InstanceId("m"), [](const std::string &) { return nullptr; });
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

BOOST_AUTO_TEST_SUITE_END()

}
