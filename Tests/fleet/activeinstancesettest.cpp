#include "fleet/activeinstanceset.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ActiveInstanceSetTest)

namespace
{

constexpr double largeCores = 0.5;
constexpr double smallCores = 0.12;

/// A zone of small instances and two large ones, from the view of a small instance.
struct Fixture
{
    Fixture()
    {
        this->own.instance = InstanceId("w00");
        this->own.zone = ZoneId("z");
        this->own.ready = true;
        this->own.cpuUsage.availableCores = smallCores;
        this->setLoad(0);
    }

    /// Distributes a total CPU usage of @p cores evenly over the instances of the zone.
    void setLoad(double cores)
    {
        const double coresPerInstance = cores / static_cast<double>(count);
        this->own.cpuUsage.requestCores = coresPerInstance;
        for (std::size_t number = 1; number < count; ++number) {
            const bool isLarge = number < 3;
            GossipMessage message;
            message.instance = InstanceId((isLarge ? "s" : "w") + std::to_string(10 + number));
            message.incarnation = 1;
            message.state = MemberState::Ready;
            message.zone = ZoneId("z");
            message.callerAddress = message.instance.value();
            message.cpuUsage = { isLarge ? largeCores : smallCores, coresPerInstance };
            this->members.update(message);
        }
    }

    std::size_t activeCount()
    {
        return this->activeInstances.inZone(ZoneId("z")).size();
    }

    static constexpr std::size_t count = 20;
    ManualClock clock;
    MemberTable members { clock, InstanceId("w00"), ZoneId("z") };
    InstanceInfo own;
    ActiveInstanceSet activeInstances { members, own };
};

}

// Guards against a large fleet in which each instance gets too few requests to measure the endpoints, and against
// requests that wait for the CPU of a small instance while large ones are idle.
BOOST_FIXTURE_TEST_CASE(lightLoadSelectsLargestInstances, Fixture)
{
    const auto active = this->activeInstances.inZone(ZoneId("z"));
    BOOST_REQUIRE(active.size() == 2U);
    BOOST_TEST(active[0].cpuUsage.availableCores == largeCores);
    BOOST_TEST(active[1].cpuUsage.availableCores == largeCores);
}

// Guards against an overloaded active instance while others are standby. Callers distribute their requests evenly over
// the active instances, so none may get more than it can serve.
BOOST_FIXTURE_TEST_CASE(heavyLoadActivatesMoreInstances, Fixture)
{
    this->setLoad(1.2);
    const auto active = this->activeInstances.inZone(ZoneId("z"));
    for (const InstanceInfo &instance : active) {
        BOOST_TEST(1.2 / static_cast<double>(active.size()) <= instance.cpuUsage.availableCores);
    }
    this->setLoad(100);
    BOOST_TEST(this->activeCount() == count);
}

// Guards against callers that switch back and forth between instances while the load varies slightly.
BOOST_FIXTURE_TEST_CASE(smallLoadChangesKeepActiveSet, Fixture)
{
    this->setLoad(0.5);
    const std::size_t previousCount = this->activeCount();
    for (const double load : { 0.45, 0.5, 0.4, 0.48 }) {
        this->setLoad(load);
        BOOST_TEST(this->activeCount() == previousCount);
    }
    this->setLoad(0.1);
    BOOST_TEST(this->activeCount() == 2U);
}

// Guards against a zone without active instances after all of them failed: standby instances have to replace them.
BOOST_FIXTURE_TEST_CASE(standbyInstancesReplaceUnreachableOnes, Fixture)
{
    this->clock.advance(std::chrono::seconds(2));
    for (std::size_t number = 3; number < count; ++number) {
        GossipMessage message;
        message.instance = InstanceId("w" + std::to_string(10 + number));
        message.incarnation = 1;
        message.state = MemberState::Ready;
        message.zone = ZoneId("z");
        message.cpuUsage = { smallCores, 0 };
        this->members.update(message);
    }
    this->clock.advance(std::chrono::seconds(2));
    this->members.expireMembers();
    const auto active = this->activeInstances.inZone(ZoneId("z"));
    BOOST_REQUIRE(active.size() == 2U);
    BOOST_TEST(active[0].cpuUsage.availableCores == smallCores);
}

// Guards against instances that together exceed fleet-wide limits (connections to an endpoint, extra attempts), and
// against limits that stay unused at standby instances.
BOOST_FIXTURE_TEST_CASE(fleetSharesSumToAtMostOne, Fixture)
{
    const double standbyShare = this->activeInstances.ownFleetShare();
    this->own.cpuUsage.availableCores = 1;
    const double activeShare = this->activeInstances.ownFleetShare();
    BOOST_TEST(2 * activeShare + (count - 2) * standbyShare <= 1.0001);
    BOOST_TEST(2 * activeShare >= 0.7);
}

// Guards against a small fleet in which only some instances are active: all of them are needed.
BOOST_AUTO_TEST_CASE(allInstancesOfSmallFleetAreActive)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"), ZoneId("z"));
    InstanceInfo own;
    own.instance = InstanceId("self");
    own.zone = ZoneId("z");
    own.ready = true;
    ActiveInstanceSet activeInstances(members, own);
    for (const std::string name : { "a", "b", "c" }) {
        GossipMessage message;
        message.instance = InstanceId(name);
        message.state = MemberState::Ready;
        message.zone = ZoneId("z");
        members.update(message);
    }
    BOOST_TEST(activeInstances.inZone(ZoneId("z")).size() == 4U);
    BOOST_TEST(activeInstances.ownFleetShare() == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()

}
