#include "feed/fleetfeedsourcepolicy.h"
#include "fleet/fakefleet.h"
#include "fleet/instancedirectory.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FleetTest)

namespace
{

GossipMessage messageOf(const std::string &instance, MemberState state = MemberState::Ready)
{
    GossipMessage message;
    message.instance = InstanceId(instance);
    message.incarnation = 1;
    message.state = state;
    message.zone = ZoneId("z-" + instance);
    message.callerAddress = "caller-" + instance;
    message.peerAddress = "peer-" + instance;
    message.feedAgeMs = 100;
    return message;
}

}

// Guards against a message that another version or another program sent.
BOOST_AUTO_TEST_CASE(messageSurvivesTheWire)
{
    GossipMessage message = messageOf("a", MemberState::ShuttingDown);
    message.usage = { { OrganisationId("org"), 17, 3 } };
    message.slowEndpoints = { { EndpointId("endpoint"), 4.5 } };
    message.knownAddresses = { "peer-b" };
    message.readsStore = true;
    message.cpuUsage = { 0.5, 0.125 };
    const auto decoded = decodeGossipMessage(encodeGossipMessage(message));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded.value().state == MemberState::ShuttingDown));
    BOOST_TEST(decoded.value().usage.at(0).admitted == 17U);
    BOOST_TEST(decoded.value().usage.at(0).recentlyAdmitted == 3U);
    BOOST_TEST(decoded.value().knownAddresses.at(0) == "peer-b");
    BOOST_TEST(decoded.value().readsStore);
    BOOST_TEST((decoded.value().slowEndpoints.at(0).endpoint == EndpointId("endpoint")));
    BOOST_TEST(decoded.value().slowEndpoints.at(0).slowness == 4.5);
    BOOST_TEST(decoded.value().cpuUsage.availableCores == 0.5);
    BOOST_TEST(decoded.value().cpuUsage.usedCores == 0.125);
    BOOST_TEST((decodeGossipMessage("garbage").error() == GossipMessageError::NotCbor));
    BOOST_TEST((decodeGossipMessage("\xa1\x61v\x01").error() == GossipMessageError::WrongVersion));
    BOOST_TEST((decodeGossipMessage("\xa1\x61v\x02").error() == GossipMessageError::FieldMissing));
}

// Guards against instances that never hear of each other: all know a few seeds only.
BOOST_AUTO_TEST_CASE(instancesFindEachOtherThroughSeeds)
{
    FakeFleet fleet(8, 3);
    fleet.advance(Milliseconds(1000));
    for (std::size_t number = 0; number < 8; ++number) {
        BOOST_TEST(fleet.node(number).members.liveCount() == 8U);
    }
}

// Guards against a dead instance that stays in the directory, and against one that is forgotten while it may serve.
BOOST_AUTO_TEST_CASE(silentInstanceIsNoticedAndReturns)
{
    FakeFleet fleet(4, 3);
    fleet.advance(Milliseconds(3000));
    fleet.cut(3);
    fleet.advance(Milliseconds(2500));
    BOOST_TEST(fleet.node(0).members.liveCount() == 3U);
    BOOST_TEST(fleet.node(0).members.knownCount() == 4U);
    BOOST_TEST(fleet.node(3).members.liveCount() == 1U);
    fleet.heal();
    fleet.advance(Milliseconds(2500));
    BOOST_TEST(fleet.node(0).members.liveCount() == 4U);
    BOOST_TEST(fleet.node(3).members.liveCount() == 4U);
}

// Guards against callers that are sent to an instance that is dead, not ready or leaving, or far away without need.
BOOST_AUTO_TEST_CASE(directoryNamesReadyInstancesOfTheZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"));
    InstanceInfo own;
    own.instance = InstanceId("self");
    own.zone = ZoneId("z-self");
    own.callerAddress = "own";
    own.ready = true;
    ActiveInstanceSet activeInstances(members, own);
    InstanceDirectory directory(activeInstances);
    members.update(messageOf("a"));
    members.update(messageOf("b", MemberState::ShuttingDown));
    members.update(messageOf("c", MemberState::Starting));
    BOOST_TEST((directory.addresses(ZoneId("z-self")) == std::vector<std::string> { "own" }));
    BOOST_TEST((directory.addresses(ZoneId("z-a")) == std::vector<std::string> { "caller-a" }));
    BOOST_TEST((directory.addresses(ZoneId("z-b")) == std::vector<std::string> { "own", "caller-a" }));
    clock.advance(std::chrono::seconds(2));
    members.expireMembers();
    BOOST_TEST((directory.addresses(ZoneId("z-a")) == std::vector<std::string> { "own" }));
}

// Guards against a store that all instances read, and against one that nobody reads.
BOOST_AUTO_TEST_CASE(oneInstanceReadsTheStore)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"));
    FleetFeedSourcePolicy plan(members, InstanceId("m"), ZoneId("z"), [](const std::string &) { return nullptr; });
    BOOST_TEST(plan.shouldReadStore());
    GossipMessage reader = messageOf("a");
    reader.readsStore = true;
    members.update(reader);
    BOOST_TEST(!plan.shouldReadStore());
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("a")));
    // A reader that the store turns away grows old and is not relied on.
    reader.feedAgeMs = 3000;
    members.update(reader);
    BOOST_TEST(plan.shouldReadStore());
    BOOST_TEST(plan.candidatePeers().empty());
    // A later one in the order of ids gives way to this one.
    GossipMessage later = messageOf("z");
    later.readsStore = true;
    members.update(later);
    BOOST_TEST(plan.shouldReadStore());
}

// Guards against a configuration that crosses availability zones once for each instance of a large fleet, and against
// a zone that hears nothing when its first instance is behind.
BOOST_AUTO_TEST_CASE(instancesFollowOneOfTheirZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"));
    FleetFeedSourcePolicy plan(members, InstanceId("m"), ZoneId("near"), [](const std::string &) { return nullptr; });
    GossipMessage reader = messageOf("a");
    reader.readsStore = true;
    reader.zone = ZoneId("far");
    members.update(reader);
    GossipMessage first = messageOf("f");
    first.zone = ZoneId("near");
    members.update(first);
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("a")));
    for (std::size_t number = 0; number < maxFullMeshPeers; ++number) {
        GossipMessage other = messageOf("n" + std::to_string(number));
        other.zone = ZoneId("near");
        members.update(other);
    }
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("f")));
    BOOST_TEST((plan.candidatePeers().at(1).instance == InstanceId("a")));
    first.feedAgeMs = 3000;
    members.update(first);
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("a")));
}

BOOST_AUTO_TEST_SUITE_END()

}
