#include "fleet/ratelimitshare.h"

#include "fleet/fakefleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

double shareOf(FakeFleet::Node &node)
{
    return RateLimitShare(node.members).value(node.activeInstances.ownFleetShare(), node.requestsPerSecond);
}

double sumOfShares(FakeFleet &fleet)
{
    double sum = 0;
    for (FakeFleet::Node *node : fleet.allNodes()) {
        sum += shareOf(*node);
    }
    return sum;
}

/// The first @p loadedCount instances get 20 requests per second each, the others none.
void setLoad(FakeFleet &fleet, std::size_t loadedCount)
{
    const std::size_t size = fleet.allNodes().size();
    for (std::size_t number = 0; number < size; ++number) {
        fleet.node(number).requestsPerSecond = number < loadedCount ? 20 : 0;
    }
}

/// Tolerates rounding errors of the sum of the shares.
constexpr double maxSum = 1 + 1e-9;

}

BOOST_AUTO_TEST_SUITE(RateLimitShareTest)

// Guards against shares of a limit that are left to instances without callers, and against shares that exceed the limit
// together.
BOOST_AUTO_TEST_CASE(sharesFollowReportedLoad)
{
    FakeFleet fleet(6, 3);
    setLoad(fleet, 3);
    fleet.advance(std::chrono::seconds(3));
    BOOST_TEST(shareOf(fleet.node(0)) > 0.3);
    BOOST_TEST(shareOf(fleet.node(5)) < 0.02);
    BOOST_TEST(shareOf(fleet.node(5)) > 0);
    BOOST_TEST(sumOfShares(fleet) <= maxSum);
}

// Guards against the same in a fleet whose messages reach most instances through others.
BOOST_AUTO_TEST_CASE(sharesFollowReportedLoadInLargeFleet)
{
    FakeFleet fleet(40, 3, 4);
    setLoad(fleet, 8);
    fleet.advance(std::chrono::seconds(10));
    BOOST_TEST(shareOf(fleet.node(0)) > 0.11);
    BOOST_TEST(sumOfShares(fleet) <= maxSum);
}

// Guards against a limit that is exceeded because the share of an unreachable instance, which may still send, is given
// to others.
BOOST_AUTO_TEST_CASE(unreachableInstanceKeepsItsShare)
{
    FakeFleet fleet(6, 3);
    setLoad(fleet, 3);
    fleet.advance(std::chrono::seconds(3));
    fleet.partition(0);
    fleet.advance(std::chrono::seconds(10));
    BOOST_TEST(shareOf(fleet.node(0)) > 0.3);
    BOOST_TEST(sumOfShares(fleet) <= maxSum);
}

// Guards against a limit that is exceeded while instances of an older version, which do not report their rates, use
// even shares.
BOOST_AUTO_TEST_CASE(shareIsEvenWhileARateIsUnknown)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"), ZoneId("z"));
    GossipMessage message;
    message.instance = InstanceId("older");
    members.update(message);
    BOOST_TEST(RateLimitShare(members).value(0.5, 100) == 0.5);
    message.requestsPerSecond = 0;
    message.incarnation = 1;
    members.update(message);
    BOOST_TEST(RateLimitShare(members).value(0.5, 100) > 0.9);
}

// Guards against shares of zero, with which an instance could not learn that a limit has ended, while nobody has
// callers.
BOOST_AUTO_TEST_CASE(shareIsEvenWithoutCallers)
{
    BOOST_TEST(RateLimitShare::byLoad(0.25, 0, 0) == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()

}
