#include "feed/fleetfeedsourcepolicy.h"
#include "fleet/callerdirectory.h"
#include "fleet/fakefleet.h"

#include <boost/test/unit_test.hpp>

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
    BOOST_TEST(decoded.value().use.at(0).recentlyAdmitted == 3U);
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
    FleetFeedSourcePolicy plan(members, InstanceId("m"), ZoneId("z"), [](const std::string &) { return nullptr; });
    BOOST_TEST(plan.shouldReadStore());
    FleetMessage reader = messageOf("a");
    reader.readsStore = true;
    members.heard(reader);
    BOOST_TEST(!plan.shouldReadStore());
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("a")));
    // A reader that the store turns away grows old and is not relied on.
    reader.feedAgeMs = 3000;
    members.heard(reader);
    BOOST_TEST(plan.shouldReadStore());
    BOOST_TEST(plan.candidatePeers().empty());
    // A later one in the order of ids gives way to this one.
    FleetMessage later = messageOf("z");
    later.readsStore = true;
    members.heard(later);
    BOOST_TEST(plan.shouldReadStore());
}

// Guards against a configuration that crosses availability zones once for each instance of a large fleet, and against
// a zone that hears nothing when its first instance is behind.
BOOST_AUTO_TEST_CASE(instancesFollowOneOfTheirZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"));
    FleetFeedSourcePolicy plan(members, InstanceId("m"), ZoneId("near"), [](const std::string &) { return nullptr; });
    FleetMessage reader = messageOf("a");
    reader.readsStore = true;
    reader.zone = ZoneId("far");
    members.heard(reader);
    FleetMessage first = messageOf("f");
    first.zone = ZoneId("near");
    members.heard(first);
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("a")));
    for (std::size_t number = 0; number < smallFleet; ++number) {
        FleetMessage other = messageOf("n" + std::to_string(number));
        other.zone = ZoneId("near");
        members.heard(other);
    }
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("f")));
    BOOST_TEST((plan.candidatePeers().at(1).instance == InstanceId("a")));
    first.feedAgeMs = 3000;
    members.heard(first);
    BOOST_TEST((plan.candidatePeers().at(0).instance == InstanceId("a")));
}

BOOST_AUTO_TEST_SUITE_END()

}
