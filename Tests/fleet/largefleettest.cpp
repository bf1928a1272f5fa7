#include "fleet/fakefleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(LargeFleetTest)

namespace
{

constexpr std::size_t largeFleet = 76;
constexpr std::size_t manyOrganisations = 80;
/// Limit of the control traffic of an instance.
constexpr double controlBytesPerSecond = 20'000;
/// Rate limit (requests per second) and burst of each organisation.
constexpr double organisationRate = 30;
constexpr double organisationBurst = 30;

OrganisationId organisationNumber(std::size_t number)
{
    return OrganisationId("organisation-" + std::to_string(number));
}

/// Sets the limits of all organisations at each instance of the fleet.
void setOrganisationLimits(FakeFleet &fleet)
{
    std::map<OrganisationId, OrganisationSpec> specs;
    for (std::size_t number = 0; number < manyOrganisations; ++number) {
        OrganisationSpec spec;
        spec.id = organisationNumber(number);
        spec.ratePerSecond = organisationRate;
        spec.burst = organisationBurst;
        specs[spec.id] = spec;
    }
    for (FakeFleet::Node *node : fleet.allNodes()) {
        node->quota.setLimits(specs);
    }
}

/// Sends @p perSecond requests per second of one organisation to random instances. Returns the times of the admitted
/// requests in seconds.
std::vector<double> sendRequests(FakeFleet &fleet, const OrganisationId &organisation, int seconds, int perSecond)
{
    Random random(11);
    std::vector<double> admittedAt;
    const auto nodes = fleet.allNodes();
    for (int request = 0; request < seconds * perSecond; ++request) {
        fleet.advance(fromSeconds(1.0 / perSecond));
        if (!nodes[random.uniformInteger(nodes.size())]->quota.throttle(organisation)) {
            admittedAt.push_back(static_cast<double>(request) / perSecond);
        }
    }
    return admittedAt;
}

std::size_t maxCountInWindow(const std::vector<double> &times, double window)
{
    std::size_t maxCount = 0;
    std::size_t begin = 0;
    for (std::size_t end = 0; end < times.size(); ++end) {
        while (times[end] - times[begin] > window) {
            ++begin;
        }
        maxCount = std::max(maxCount, end - begin + 1);
    }
    return maxCount;
}

/// Bytes sent so far.
struct AverageSentBytes
{
    explicit AverageSentBytes(FakeFleet &fleet)
    {
        const auto nodes = fleet.allNodes();
        for (const FakeFleet::Node *node : nodes) {
            this->total += static_cast<double>(node->sentBytes) / static_cast<double>(nodes.size());
            this->crossZone += static_cast<double>(node->crossZoneBytes) / static_cast<double>(nodes.size());
        }
    }

    /// Bytes per instance, on average.
    double total = 0;
    double crossZone = 0;
};

}

// Guards against gossip traffic that grows with the square of the fleet size: an instance may use 20 KB/s for control
// traffic. Also guards against live instances that count as unreachable because only a few send to this one directly.
BOOST_AUTO_TEST_CASE(gossipTrafficIsBoundedInLargeFleet)
{
    FakeFleet fleet(80, 3);
    fleet.advance(Milliseconds(4000));
    const std::size_t before = fleet.node(40).sentBytes;
    for (int second = 0; second < 10; ++second) {
        fleet.advance(std::chrono::seconds(1));
        BOOST_TEST(fleet.node(40).members.liveCount() == 80U);
    }
    BOOST_TEST(static_cast<double>(fleet.node(40).sentBytes - before) / 10 <= controlBytesPerSecond);
    fleet.partition(7);
    fleet.advance(std::chrono::seconds(6));
    BOOST_TEST(fleet.node(40).members.liveCount() == 79U);
}

// Guards against messages that carry the complete usage history of each organisation, sent ten times a second as soon
// as one organisation is close to its limit: an instance may use 20 KB/s for control traffic.
BOOST_AUTO_TEST_CASE(gossipTrafficIsBoundedNearQuotaLimit)
{
    /// Each instance has served every Nth organisation.
    constexpr std::size_t servedEvery = 8;
    FakeFleet fleet(largeFleet, 3, 4);
    setOrganisationLimits(fleet);
    fleet.advance(Milliseconds(4000));
    std::size_t instance = 0;
    for (FakeFleet::Node *node : fleet.allNodes()) {
        for (std::size_t number = instance++ % servedEvery; number < manyOrganisations; number += servedEvery) {
            node->quota.throttle(organisationNumber(number));
        }
    }
    fleet.advance(std::chrono::seconds(8));
    const AverageSentBytes before(fleet);
    sendRequests(fleet, organisationNumber(0), 5, 150);
    const AverageSentBytes sent(fleet);
    BOOST_TEST_MESSAGE("bytes/s of an instance: " << (sent.total - before.total) / 5);
    BOOST_TEST((sent.total - before.total) / 5 <= controlBytesPerSecond);
}

// Guards against a start of the whole fleet in which each instance sends all addresses to every other one: an instance
// may use 20 KB/s for control traffic.
BOOST_AUTO_TEST_CASE(gossipTrafficIsBoundedDuringStartup)
{
    FakeFleet fleet(largeFleet, 3, 4);
    fleet.advance(Milliseconds(5000));
    const AverageSentBytes sent(fleet);
    BOOST_TEST_MESSAGE("bytes of an instance in the first 5 s: " << sent.total
                                                                 << ", to other zones: " << sent.crossZone);
    BOOST_TEST(sent.total <= 5 * controlBytesPerSecond);
    // User traffic starts 14 s after the instances.
    fleet.advance(Milliseconds(2000));
    for (const FakeFleet::Node *node : fleet.allNodes()) {
        BOOST_TEST(node->members.liveCount() == largeFleet);
    }
}

// Guards against gossip that ignores availability zones when it selects receivers: traffic between zones is billed.
BOOST_AUTO_TEST_CASE(crossZoneGossipIsLimited)
{
    FakeFleet fleet(largeFleet, 3, 4);
    fleet.advance(Milliseconds(7000));
    const AverageSentBytes before(fleet);
    for (int second = 0; second < 20; ++second) {
        fleet.advance(std::chrono::seconds(1));
        for (const FakeFleet::Node *node : fleet.allNodes()) {
            BOOST_TEST(node->members.liveCount() == largeFleet);
        }
    }
    const AverageSentBytes sent(fleet);
    const double crossZone = sent.crossZone - before.crossZone;
    BOOST_TEST_MESSAGE("bytes/s of an instance: " << (sent.total - before.total) / 20
                                                  << ", to other zones: " << crossZone / 20);
    // With random receivers, three quarters of the bytes cross zones. At most half of that is allowed.
    BOOST_TEST(crossZone <= 0.375 * (sent.total - before.total));
}

// Guards against an organisation that gets several times its rate because its usage reaches the instances of a large
// fleet too late. The platform sets the bound: rate and burst over 5 seconds, plus a quarter, plus 20 requests.
BOOST_AUTO_TEST_CASE(largeFleetEnforcesOrganisationRate)
{
    FakeFleet fleet(largeFleet, 3, 4);
    setOrganisationLimits(fleet);
    fleet.advance(Milliseconds(6000));
    const auto admittedAt = sendRequests(fleet, organisationNumber(0), 20, 200);
    BOOST_TEST_MESSAGE("admitted in 5 s: " << maxCountInWindow(admittedAt, 5) << ", in 20 s: " << admittedAt.size());
    BOOST_TEST(static_cast<double>(maxCountInWindow(admittedAt, 5))
               <= (5 * organisationRate + organisationBurst) * 1.25 + 20);
    BOOST_TEST(static_cast<double>(admittedAt.size()) >= 0.85 * 20 * organisationRate);
}

// Guards against a fleet in which each active instance has to detect a slow endpoint by itself.
BOOST_AUTO_TEST_CASE(activeInstancesShareSlowEndpointReports)
{
    FakeFleet fleet(largeFleet, 3, 4);
    EndpointRecord record;
    record.id = EndpointId("endpoint");
    record.service = ServiceId("service");
    for (FakeFleet::Node *node : fleet.allNodes()) {
        node->endpoints.addOrUpdate(record, fleet.clock.now());
        node->own.ready = true;
        node->gossip->setState(MemberState::Ready);
    }
    fleet.advance(Milliseconds(5000));
    const auto active = fleet.node(0).activeInstances.inAllZones();
    BOOST_REQUIRE(active.size() == 8U);
    EndpointStats &stats = fleet.node(std::stoul(active[0].instance.value())).endpoints.find(record.id)->stats;
    for (int probe = 0; probe < 4; ++probe) {
        const auto token = stats.requestStarted(fleet.clock.now(), Milliseconds(10));
        fleet.advance(Milliseconds(300));
        stats.requestSucceeded(token, fleet.clock.now());
    }
    fleet.advance(Milliseconds(600));
    for (std::size_t other = 1; other < active.size(); ++other) {
        FakeFleet::Node &node = fleet.node(std::stoul(active[other].instance.value()));
        BOOST_TEST(node.endpoints.find(record.id)->stats.isSuspect(fleet.clock.now()));
    }
}

// Guards against gossip traffic that grows with the fleet, and against live instances that are taken for unreachable in
// a fleet of hundreds because their messages arrive too rarely. Users begin 14 s after the instances. Shares of limits
// may be wrong by one in a hundred; the instances of the own zone must all be known.
BOOST_AUTO_TEST_CASE(gossipTrafficIsBoundedWithHundredsOfInstances)
{
    constexpr std::size_t fleetSize = 204;
    constexpr std::size_t zones = 6;
    FakeFleet fleet(fleetSize, 3, zones);
    fleet.advance(Milliseconds(14000));
    const AverageSentBytes before(fleet);
    for (int second = 0; second < 4; ++second) {
        fleet.advance(std::chrono::seconds(1));
        for (const FakeFleet::Node *node : fleet.allNodes()) {
            BOOST_TEST(node->members.knownCount() == node->members.liveCount());
            BOOST_TEST(node->members.liveCount() >= fleetSize - fleetSize / 100);
            BOOST_TEST(node->members.liveMembersByZone().at(node->own.zone).size() == fleetSize / zones - 1);
        }
    }
    const AverageSentBytes sent(fleet);
    const double bytesPerSecond = (sent.total - before.total) / 4;
    const double crossZonePerSecond = (sent.crossZone - before.crossZone) / 4;
    BOOST_TEST_MESSAGE("bytes/s of an instance: " << bytesPerSecond << ", to other zones: " << crossZonePerSecond);
    BOOST_TEST(bytesPerSecond <= controlBytesPerSecond);
    // With random receivers, five sixths of the bytes cross zones. At most half of that is allowed.
    BOOST_TEST(crossZonePerSecond <= 5.0 / 12 * bytesPerSecond);
    fleet.partition(7);
    fleet.advance(std::chrono::seconds(6));
    BOOST_TEST(fleet.node(7 + zones).members.find(InstanceId("7"))->unreachable);
    fleet.advance(std::chrono::seconds(4));
    BOOST_TEST(fleet.node(40).members.find(InstanceId("7"))->unreachable);
}

BOOST_AUTO_TEST_SUITE_END()

}
