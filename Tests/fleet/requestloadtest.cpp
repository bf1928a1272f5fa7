#include "fleet/requestload.h"

#include "core/manualclock.h"
#include "fleet/activeinstanceset.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(RequestLoadTest)

// Guards against a zone of idle instances whose cost of control counts as load: all of them would become active, and
// the fleet-wide limits would be divided among all of them.
BOOST_AUTO_TEST_CASE(idleInstancesCauseNoLoad)
{
    constexpr std::size_t idleInstances = 50;
    constexpr double controlCores = 0.03;
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"), ZoneId("z"));
    InstanceInfo own;
    own.instance = InstanceId("self");
    ActiveInstanceSet activeInstances(members, own);
    for (std::size_t number = 0; number < idleInstances; ++number) {
        RequestLoad load;
        for (int second = 0; second < 10; ++second) {
            load.addInterval(controlCores, false);
        }
        GossipMessage message;
        message.instance = InstanceId(std::to_string(number));
        message.state = MemberState::Ready;
        message.zone = ZoneId("z");
        message.cpuUsage = { 0.12, load.cores() };
        members.update(message);
    }
    BOOST_TEST(activeInstances.inZone(ZoneId("z")).size() == 2U);
}

// Guards against a load estimate that contains the cost of control, or that loses the usage of requests.
BOOST_AUTO_TEST_CASE(controlIsSubtractedWhileRequestsAreServed)
{
    RequestLoad load;
    for (int second = 0; second < 10; ++second) {
        load.addInterval(0.03, false);
    }
    for (int second = 0; second < 30; ++second) {
        load.addInterval(0.23, true);
    }
    BOOST_TEST(load.cores() == 0.2, boost::test_tools::tolerance(0.01));
}

// Guards against the high usage at the start of a process, when it reads the feed, counting as its cost of control for
// long: the load of its first callers would be too low.
BOOST_AUTO_TEST_CASE(costOfStartupIsForgotten)
{
    RequestLoad load;
    load.addInterval(0.5, false);
    load.addInterval(0.02, false);
    BOOST_TEST(load.controlCores() == 0.02);
}

// Guards against load that is not counted at an instance that has served requests since its start.
BOOST_AUTO_TEST_CASE(allUsageCountsWithoutIdleInterval)
{
    RequestLoad load;
    for (int second = 0; second < 30; ++second) {
        load.addInterval(0.2, true);
    }
    BOOST_TEST(load.cores() == 0.2, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

}
