#include "feed/fleetfeedsourcepolicy.h"
#include "fleet/fakefleet.h"
#include "fleet/instancedirectory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FleetTest)

namespace
{

GossipMessage makeMessage(const std::string &instance, MemberState state = MemberState::Ready)
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

// Guards against fields that are lost in encoding, and against accepting datagrams of another version or program.
BOOST_AUTO_TEST_CASE(gossipMessageRoundTrips)
{
    GossipMessage message = makeMessage("a", MemberState::ShuttingDown);
    message.usage = { { OrganisationId("org"), 17, 3 } };
    message.slowEndpoints = { { EndpointId("endpoint"), 4.5 } };
    message.knownAddresses = { "peer-b" };
    message.readsStore = true;
    message.cpuUsage = { 0.5, 0.125 };
    message.requestsPerSecond = 12.3;
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
    BOOST_TEST(decoded.value().cpuUsage.requestCores == 0.125);
    BOOST_TEST(decoded.value().requestsPerSecond.value() == 12.3);
    BOOST_TEST((decodeGossipMessage("garbage").error() == GossipMessageError::NotCbor));
    BOOST_TEST((decodeGossipMessage("\xa1\x61v\x01").error() == GossipMessageError::WrongVersion));
    BOOST_TEST((decodeGossipMessage("\xa1\x61v\x02").error() == GossipMessageError::FieldMissing));
}

// Guards against remaining times that no receiver can compute with, and against bytes in messages that have none.
BOOST_AUTO_TEST_CASE(rewriteTimeIsEncodedAndBounded)
{
    GossipMessage message = makeMessage("a");
    const std::string without = encodeGossipMessage(message);
    BOOST_TEST(!decodeGossipMessage(without).value().restoration);
    message.restoration = { StoreEra(7), 1500 };
    const auto received = decodeGossipMessage(encodeGossipMessage(message)).value().restoration.value();
    BOOST_TEST(received.era == StoreEra(7));
    BOOST_TEST(received.rewriteRemainingMs == 1500);
    BOOST_TEST(encodeGossipMessage(message).size() > without.size());
    for (const std::int64_t value :
         { std::int64_t(-1), std::int64_t(60'001), std::numeric_limits<std::int64_t>::max() }) {
        message.restoration = { StoreEra(7), value };
        const auto decoded = decodeGossipMessage(encodeGossipMessage(message));
        BOOST_TEST((decoded.error() == GossipMessageError::ValueOutOfRange));
    }
}

// Guards against a new process that is not told of lost changes in time, against messages that are taken for news from
// a running instance although their sender has just started, and against telling about it for too long.
BOOST_AUTO_TEST_CASE(rewriteTimeReachesStartingInstances)
{
    FakeFleet fleet(3, 2);
    FakeFleet::Node &restored = fleet.node(0);
    FakeFleet::Node &starting = fleet.node(2);
    fleet.advance(Milliseconds(50));
    restored.freshness.confirm(fleet.clock.now());
    fleet.node(1).freshness.confirm(fleet.clock.now());
    restored.restoration.noticed = { StoreEra(7), Milliseconds(1200) };
    restored.gossip->setState(MemberState::Ready);
    fleet.advance(Milliseconds(150));
    BOOST_REQUIRE(!starting.restoration.heardRemaining.empty());
    BOOST_TEST((starting.restoration.heardRemaining.back() == Milliseconds(1200)));
    BOOST_TEST(starting.restoration.heardEra == StoreEra(7));
    BOOST_TEST(starting.restoration.heardFeedAges.empty());
    restored.restoration.noticed.reset();
    fleet.advance(Milliseconds(150));
    BOOST_REQUIRE(!starting.restoration.heardFeedAges.empty());
    BOOST_TEST((starting.restoration.heardFeedAges.front() >= Milliseconds(150)));
}

// Guards against a wait that is prolonged by the way of a message through other instances, and against taking a message
// whose time is over on arrival for one of an instance that has noticed no loss: its data are of that time.
BOOST_AUTO_TEST_CASE(ageOfPassedOnMessageIsSubtracted)
{
    FakeFleet fleet(2, 1);
    GossipMessage carrier = makeMessage("3", MemberState::Starting);
    GossipMessage passedOn = makeMessage("4");
    passedOn.restoration = { StoreEra(7), 1000 };
    carrier.piggybacked = { { 300, passedOn } };
    fleet.node(0).gossip->handleDatagram(encodeGossipMessage(carrier));
    BOOST_TEST((fleet.node(0).restoration.heardRemaining == std::vector<Duration> { Milliseconds(700) }));
    passedOn.instance = InstanceId("5");
    carrier.piggybacked = { { 1000, passedOn } };
    fleet.node(0).gossip->handleDatagram(encodeGossipMessage(carrier));
    BOOST_TEST(fleet.node(0).restoration.heardRemaining.size() == 1U);
    BOOST_TEST(fleet.node(0).restoration.heardFeedAges.empty());
    passedOn.instance = InstanceId("6");
    passedOn.restoration.reset();
    carrier.piggybacked = { { 1000, passedOn } };
    fleet.node(0).gossip->handleDatagram(encodeGossipMessage(carrier));
    BOOST_TEST((fleet.node(0).restoration.heardFeedAges == std::vector<Duration> { Milliseconds(1100) }));
}

// Guards against instances that never discover each other: each of them is configured with a few seeds only.
BOOST_AUTO_TEST_CASE(instancesDiscoverEachOtherThroughSeeds)
{
    FakeFleet fleet(8, 3);
    fleet.advance(Milliseconds(1000));
    for (std::size_t number = 0; number < 8; ++number) {
        BOOST_TEST(fleet.node(number).members.liveCount() == 8U);
    }
}

// Guards against a failed instance that still counts as live, and against a partitioned one that is removed while it
// may still serve.
BOOST_AUTO_TEST_CASE(unreachableInstanceIsDetectedAndRejoins)
{
    FakeFleet fleet(4, 3);
    fleet.advance(Milliseconds(3000));
    fleet.partition(3);
    fleet.advance(Milliseconds(2500));
    BOOST_TEST(fleet.node(0).members.liveCount() == 3U);
    BOOST_TEST(fleet.node(0).members.knownCount() == 4U);
    BOOST_TEST(fleet.node(3).members.liveCount() == 1U);
    fleet.healPartition();
    fleet.advance(Milliseconds(2500));
    BOOST_TEST(fleet.node(0).members.liveCount() == 4U);
    BOOST_TEST(fleet.node(3).members.liveCount() == 4U);
}

// Guards against callers that are sent to an instance that is unreachable, not ready or shutting down, or to another
// zone although their own zone has a ready instance.
BOOST_AUTO_TEST_CASE(directoryListsReadyInstancesOfZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"), ZoneId("z"));
    InstanceInfo own;
    own.instance = InstanceId("self");
    own.zone = ZoneId("z-self");
    own.callerAddress = "own";
    own.ready = true;
    ActiveInstanceSet activeInstances(members, own);
    InstanceDirectory directory(activeInstances);
    members.update(makeMessage("a"));
    members.update(makeMessage("b", MemberState::ShuttingDown));
    members.update(makeMessage("c", MemberState::Starting));
    BOOST_TEST((directory.addresses(ZoneId("z-self")) == std::vector<std::string> { "own" }));
    BOOST_TEST((directory.addresses(ZoneId("z-a")) == std::vector<std::string> { "caller-a" }));
    // Callers choose an address at random, so the order has no meaning.
    std::vector<std::string> anyZone = directory.addresses(ZoneId("z-b"));
    std::sort(anyZone.begin(), anyZone.end());
    BOOST_TEST((anyZone == std::vector<std::string> { "caller-a", "own" }));
    clock.advance(std::chrono::seconds(2));
    members.expireMembers();
    BOOST_TEST((directory.addresses(ZoneId("z-a")) == std::vector<std::string> { "own" }));
}

// Guards against all instances reading the store, as each read is billed, and against none of them reading it.
BOOST_AUTO_TEST_CASE(oneInstanceReadsTheStore)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"), ZoneId("z"));
    FleetFeedSourcePolicy policy(members, InstanceId("m"), ZoneId("z"), [](const std::string &) { return nullptr; });
    BOOST_TEST(policy.shouldReadStore());
    GossipMessage reader = makeMessage("a");
    reader.readsStore = true;
    members.update(reader);
    BOOST_TEST(!policy.shouldReadStore());
    BOOST_TEST((policy.candidatePeers().at(0).instance == InstanceId("a")));
    // The feed data of a reader that the store rejects becomes stale, so other instances no longer use it as a source.
    reader.feedAgeMs = 3000;
    members.update(reader);
    BOOST_TEST(policy.shouldReadStore());
    BOOST_TEST(policy.candidatePeers().empty());
    // A reader with a greater id does not keep this instance from reading.
    GossipMessage later = makeMessage("z");
    later.readsStore = true;
    members.update(later);
    BOOST_TEST(policy.shouldReadStore());
}

// Guards against feed data that crosses availability zones once for each instance of a large fleet, and against a zone
// without updates when its first instance has stale feed data.
BOOST_AUTO_TEST_CASE(largeFleetReadsFeedFromPeerInSameZone)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("m"), ZoneId("z"));
    FleetFeedSourcePolicy policy(members, InstanceId("m"), ZoneId("near"), [](const std::string &) { return nullptr; });
    GossipMessage reader = makeMessage("a");
    reader.readsStore = true;
    reader.zone = ZoneId("far");
    members.update(reader);
    GossipMessage first = makeMessage("f");
    first.zone = ZoneId("near");
    members.update(first);
    BOOST_TEST((policy.candidatePeers().at(0).instance == InstanceId("a")));
    for (std::size_t number = 0; number < maxFullMeshPeers; ++number) {
        GossipMessage other = makeMessage("n" + std::to_string(number));
        other.zone = ZoneId("near");
        members.update(other);
    }
    BOOST_TEST((policy.candidatePeers().at(0).instance == InstanceId("f")));
    BOOST_TEST((policy.candidatePeers().at(1).instance == InstanceId("a")));
    first.feedAgeMs = 3000;
    members.update(first);
    BOOST_TEST((policy.candidatePeers().at(0).instance == InstanceId("a")));
}

// Guards against a zone whose instances all turn to the store's reader in another zone when their leader does not
// respond, and against lists of candidates that grow with the fleet.
BOOST_AUTO_TEST_CASE(readersOfAZoneHaveADeputy)
{
    ManualClock clock;
    std::set<std::string> lastChoices;
    for (std::size_t self = 10; self < 50; ++self) {
        const InstanceId ownId("n" + std::to_string(self));
        MemberTable members(clock, ownId, ZoneId("near"));
        FleetFeedSourcePolicy policy(members, ownId, ZoneId("near"), [](const std::string &) { return nullptr; });
        GossipMessage reader = makeMessage("a");
        reader.readsStore = true;
        reader.zone = ZoneId("far");
        members.update(reader);
        for (std::size_t number = 10; number < 50; ++number) {
            GossipMessage other = makeMessage("n" + std::to_string(number));
            other.zone = ZoneId("near");
            members.update(other);
        }
        const std::vector<FeedPeer> candidates = policy.candidatePeers();
        BOOST_REQUIRE(candidates.size() == 8U);
        if (self > 11) {
            BOOST_TEST((candidates.at(0).instance == InstanceId("n10")));
            BOOST_TEST((candidates.at(1).instance == InstanceId("n11")));
            BOOST_TEST((candidates.at(2).instance == InstanceId("a")));
        }
        lastChoices.insert(candidates.at(3).instance.value());
    }
    BOOST_TEST(lastChoices.size() >= 15U);
}

// Guards against a member that never expires, or a selection of instances that divides by zero, after a message with
// values that no instance sends.
BOOST_AUTO_TEST_CASE(messagesWithInvalidValuesAreRejected)
{
    const auto isRejected = [](const GossipMessage &message) {
        const auto decoded = decodeGossipMessage(encodeGossipMessage(message));
        return !decoded && decoded.error() == make_error_code(GossipMessageError::ValueOutOfRange);
    };
    GossipMessage message = makeMessage("a");
    BOOST_TEST(!isRejected(message));
    message.piggybacked = { { -1, makeMessage("b") } };
    BOOST_TEST(isRejected(message));
    message.piggybacked = { { std::numeric_limits<std::int64_t>::max(), makeMessage("b") } };
    BOOST_TEST(isRejected(message));
    message.piggybacked = { { 10, makeMessage("b") } };
    BOOST_TEST(!isRejected(message));
    message.cpuUsage.availableCores = 0;
    BOOST_TEST(isRejected(message));
    message.cpuUsage.availableCores = 1;
    message.state = static_cast<MemberState>(7);
    BOOST_TEST(isRejected(message));
}

BOOST_AUTO_TEST_SUITE_END()

}
