#include "fleet/fakefleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(LargeFleetTest)

namespace
{

constexpr std::size_t largeFleet = 76;
constexpr std::size_t manyOrganisations = 80;
/// What an instance may use for control.
constexpr double controlBytesPerSecond = 20'000;
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
        if (!nodes[random.uniformInteger(nodes.size())]->quota.throttle(organisation)) {
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

/// What all instances have sent so far.
struct SentBytes
{
    explicit SentBytes(FakeFleet &fleet)
    {
        for (const FakeFleet::Node *node : fleet.all()) {
            this->all += static_cast<double>(node->sentBytes) / largeFleet;
            this->toOtherZones += static_cast<double>(node->sentToOtherZones) / largeFleet;
        }
    }

    /// Bytes of an instance, on average.
    double all = 0;
    double toOtherZones = 0;
};

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
        BOOST_TEST(fleet.node(40).members.liveCount() == 80U);
    }
    BOOST_TEST(static_cast<double>(fleet.node(40).sentBytes - before) / 10 <= controlBytesPerSecond);
    fleet.cut(7);
    fleet.advance(std::chrono::seconds(6));
    BOOST_TEST(fleet.node(40).members.liveCount() == 79U);
}

// Guards against messages that list the whole history of each organisation, ten times a second, as soon as one
// organisation is close to its limit: an instance may use 20 KB/s for control.
BOOST_AUTO_TEST_CASE(messagesStaySmallWhileAnOrganisationIsAtItsLimit)
{
    /// Each instance has served one in so many organisations.
    constexpr std::size_t servedEvery = 8;
    FakeFleet fleet(largeFleet, 3, 4);
    limitOrganisations(fleet);
    fleet.advance(Milliseconds(4000));
    std::size_t instance = 0;
    for (FakeFleet::Node *node : fleet.all()) {
        for (std::size_t number = instance++ % servedEvery; number < manyOrganisations; number += servedEvery) {
            node->quota.throttle(organisationNumber(number));
        }
    }
    fleet.advance(std::chrono::seconds(8));
    const SentBytes before(fleet);
    loadOneOrganisation(fleet, organisationNumber(0), 5, 150);
    const SentBytes sent(fleet);
    BOOST_TEST_MESSAGE("bytes/s of an instance: " << (sent.all - before.all) / 5);
    BOOST_TEST((sent.all - before.all) / 5 <= controlBytesPerSecond);
}

// Guards against a start of the whole fleet in which each instance sends all addresses to each other one: an instance
// may use 20 KB/s for control.
BOOST_AUTO_TEST_CASE(startOfALargeFleetNeedsFewBytes)
{
    FakeFleet fleet(largeFleet, 3, 4);
    fleet.advance(Milliseconds(5000));
    const SentBytes sent(fleet);
    BOOST_TEST_MESSAGE("bytes of an instance in the first 5 s: " << sent.all
                                                                 << ", to other zones: " << sent.toOtherZones);
    BOOST_TEST(sent.all <= 5 * controlBytesPerSecond);
    // The users' traffic starts 14 s after the machines.
    fleet.advance(Milliseconds(2000));
    for (const FakeFleet::Node *node : fleet.all()) {
        BOOST_TEST(node->members.liveCount() == largeFleet);
    }
}

// Guards against a fleet whose messages cross availability zones as often as chance has it: such bytes are dear.
BOOST_AUTO_TEST_CASE(mostMessagesStayInTheirZone)
{
    FakeFleet fleet(largeFleet, 3, 4);
    fleet.advance(Milliseconds(7000));
    const SentBytes before(fleet);
    for (int second = 0; second < 20; ++second) {
        fleet.advance(std::chrono::seconds(1));
        for (const FakeFleet::Node *node : fleet.all()) {
            BOOST_TEST(node->members.liveCount() == largeFleet);
        }
    }
    const SentBytes sent(fleet);
    const double crossed = sent.toOtherZones - before.toOtherZones;
    BOOST_TEST_MESSAGE("bytes/s of an instance: " << (sent.all - before.all) / 20
                                                  << ", to other zones: " << crossed / 20);
    // With receivers chosen at random, three quarters of the bytes cross zones; at most half of that is allowed.
    BOOST_TEST(crossed <= 0.375 * (sent.all - before.all));
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

// Guards against a fleet in which each instance that carries work has to find out about a slow endpoint by itself.
BOOST_AUTO_TEST_CASE(instancesThatCarryWorkTellOfSlowEndpoints)
{
    FakeFleet fleet(largeFleet, 3, 4);
    EndpointRecord record;
    record.id = EndpointId("endpoint");
    record.service = ServiceId("service");
    for (FakeFleet::Node *node : fleet.all()) {
        node->endpoints.addOrUpdate(record, fleet.clock.now());
        node->own.ready = true;
        node->gossip->setState(MemberState::Ready);
    }
    fleet.advance(Milliseconds(5000));
    const auto carrying = fleet.node(0).activeInstances.inAllZones();
    BOOST_REQUIRE(carrying.size() == 8U);
    EndpointStats &stats = fleet.node(std::stoul(carrying[0].instance.value())).endpoints.find(record.id)->stats;
    for (int probe = 0; probe < 4; ++probe) {
        const auto token = stats.requestStarted(fleet.clock.now(), Milliseconds(10));
        fleet.advance(Milliseconds(300));
        stats.requestSucceeded(token, fleet.clock.now());
    }
    fleet.advance(Milliseconds(600));
    for (std::size_t other = 1; other < carrying.size(); ++other) {
        FakeFleet::Node &node = fleet.node(std::stoul(carrying[other].instance.value()));
        BOOST_TEST(node.endpoints.find(record.id)->stats.isSuspect(fleet.clock.now()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
