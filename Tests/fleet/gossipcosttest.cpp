#include "fleet/allocationcounter.h"
#include "fleet/fakefleet.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(GossipCostTest)

namespace
{

constexpr std::size_t zoneCount = 6;

GossipMessage memberMessage(std::size_t number)
{
    GossipMessage message;
    message.instance = InstanceId("member-" + std::to_string(number));
    message.incarnation = 1;
    message.state = MemberState::Ready;
    message.zone = ZoneId("z" + std::to_string(number % zoneCount));
    message.callerAddress = "10.0.0.1:" + std::to_string(number);
    message.peerAddress = "10.0.0.2:" + std::to_string(number);
    return message;
}

/// An instance that knows many others, which are simulated by their messages.
struct Fixture
{
    explicit Fixture(std::size_t fleetSize)
    {
        for (std::size_t number = 0; number < fleetSize; ++number) {
            this->receive(memberMessage(number));
        }
        for (std::size_t number = 0; number < 3 * fleetSize; ++number) {
            EndpointRecord record;
            record.id = EndpointId("endpoint-" + std::to_string(number));
            record.service = ServiceId("service-" + std::to_string(number / 3));
            this->node().endpoints.addOrUpdate(record, this->fleet.clock.now());
        }
    }

    FakeFleet::Node &node()
    {
        return this->fleet.node(0);
    }
    void receive(const GossipMessage &message)
    {
        this->node().gossip->handleDatagram(encodeGossipMessage(message));
    }

    FakeFleet fleet { 1, 0 };
};

/// Mean time of a call of @p action.
template<typename Action> double microseconds(int repetitions, const Action &action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        action(repetition);
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / repetitions;
}

}

// Guards against messages that cost more the larger the fleet is, because each one copies or lists all members or
// endpoints. The allocated bytes stand for the members visited.
BOOST_AUTO_TEST_CASE(messageCostDoesNotGrowWithTheFleet)
{
    const auto allocatedByMessages = [](std::size_t fleetSize) {
        Fixture fixture(fleetSize);
        const std::size_t before = AllocationCounter::bytes();
        for (std::size_t number = 0; number < 20; ++number) {
            GossipMessage message = memberMessage(number);
            message.knownAddresses = { memberMessage(number + 1).peerAddress };
            message.requestsReply = true;
            fixture.receive(message);
        }
        return static_cast<double>(AllocationCounter::bytes() - before);
    };
    BOOST_TEST(allocatedByMessages(2000) <= 1.5 * allocatedByMessages(50));
}

// Guards against gossip rounds that build lists of all members.
BOOST_AUTO_TEST_CASE(roundCostDoesNotGrowWithTheFleet)
{
    const auto allocatedByRounds = [](std::size_t fleetSize) {
        Fixture fixture(fleetSize);
        // The first round after a change of the fleet selects the active instances again.
        fixture.node().gossip->setState(MemberState::Ready);
        const std::size_t before = AllocationCounter::bytes();
        for (int round = 1; round < 17; ++round) {
            fixture.node().gossip->setState(round % 2 == 0 ? MemberState::Ready : MemberState::Starting);
        }
        return static_cast<double>(AllocationCounter::bytes() - before);
    };
    BOOST_TEST(allocatedByRounds(2000) <= 1.5 * allocatedByRounds(100));
}

// Guards against a list of the slow endpoints that is made by a scan of all endpoints for each message, and against
// reports of endpoints that have responded on time again.
BOOST_AUTO_TEST_CASE(slowEndpointsAreTrackedWhenTheyChange)
{
    Fixture fixture(100);
    EndpointSet &endpoints = fixture.node().endpoints;
    EndpointStats &stats = endpoints.find(EndpointId("endpoint-7"))->stats;
    const auto respondAfter = [&fixture, &stats](Duration latency) {
        const auto token = stats.requestStarted(fixture.fleet.clock.now(), Milliseconds(10));
        fixture.fleet.advance(latency);
        stats.requestSucceeded(token, fixture.fleet.clock.now());
    };
    for (int request = 0; request < 3; ++request) {
        respondAfter(Milliseconds(100));
    }
    const auto slow = endpoints.locallySlowEndpoints(fixture.fleet.clock.now());
    BOOST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().endpoint == EndpointId("endpoint-7"));
    respondAfter(Milliseconds(10));
    BOOST_TEST(endpoints.locallySlowEndpoints(fixture.fleet.clock.now()).empty());
    respondAfter(Milliseconds(100));
    BOOST_TEST(endpoints.locallySlowEndpoints(fixture.fleet.clock.now()).empty());
}

// Guards against indices of the member table that differ from the members after joins, restarts in another zone,
// silence and removal.
BOOST_AUTO_TEST_CASE(memberIndicesFollowTheMembers)
{
    ManualClock clock;
    Random random(7);
    MemberTable members(clock, InstanceId("self"), ZoneId("z"));
    for (int step = 0; step < 3000; ++step) {
        GossipMessage message = memberMessage(random.uniformInteger(60));
        message.incarnation = random.uniformInteger(3);
        message.zone = ZoneId("z" + std::to_string(random.uniformInteger(zoneCount)));
        message.state = static_cast<MemberState>(random.uniformInteger(3));
        message.cpuUsage.requestCores = random.uniformReal();
        members.update(message, Milliseconds(static_cast<std::int64_t>(random.uniformInteger(4000))));
        clock.advance(Milliseconds(static_cast<std::int64_t>(random.uniformInteger(200))));
        members.expireMembers();
        std::size_t inZones = 0;
        for (const auto &[zone, zoneMembers] : members.liveMembersByZone()) {
            double requestCores = 0;
            for (const Member *member : zoneMembers) {
                BOOST_REQUIRE(member->lastMessage.zone == zone);
                BOOST_REQUIRE(members.isLiveAddress(member->lastMessage.peerAddress));
                requestCores
                    += member->lastMessage.state == MemberState::Ready ? member->lastMessage.cpuUsage.requestCores : 0;
            }
            BOOST_REQUIRE(std::abs(members.requestCores(zone) - requestCores) < 1e-6);
            inZones += zoneMembers.size();
        }
        BOOST_REQUIRE(inZones == members.liveMembers().size());
        BOOST_REQUIRE(members.liveCount() == inZones + 1);
        BOOST_REQUIRE(members.mostRecentMembers(inZones + 5).size() == inZones);
    }
}

// Prints what a message and a round cost in fleets of different sizes. Shown with --log_level=message; the times depend
// on the machine, so nothing is checked.
BOOST_AUTO_TEST_CASE(costByFleetSize)
{
    for (const std::size_t fleetSize : { 30U, 100U, 300U, 1000U, 5500U }) {
        Fixture fixture(fleetSize);
        GossipMessage message = memberMessage(1);
        for (std::size_t number = 2; number < 20; ++number) {
            message.piggybacked.push_back({ 1, memberMessage(number) });
        }
        const std::string bytes = encodeGossipMessage(message);
        const double received
            = microseconds(50, [&](int /*repetition*/) { fixture.node().gossip->handleDatagram(bytes); });
        const double round = microseconds(50, [&](int repetition) {
            fixture.node().gossip->setState(repetition % 2 == 0 ? MemberState::Ready : MemberState::Starting);
        });
        const double share
            = microseconds(50, [&](int /*repetition*/) { fixture.node().activeInstances.ownFleetShare(); });
        BOOST_TEST_MESSAGE("instances: " << fleetSize << ", microseconds a received message: " << received
                                         << ", a round: " << round << ", a fleet share: " << share);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
