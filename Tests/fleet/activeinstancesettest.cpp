#include "fleet/activeinstanceset.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ActiveInstanceSetTest)

namespace
{

constexpr double strong = 0.5;
constexpr double weak = 0.12;

/// A zone of weak instances with two strong ones, as one of its weak instances sees it.
struct Fixture
{
    Fixture()
    {
        this->own.instance = InstanceId("w00");
        this->own.zone = ZoneId("z");
        this->own.ready = true;
        this->own.cpuUsage.availableCores = weak;
        this->setLoad(0);
    }

    /// The instances of the zone use @p cores together, evenly.
    void setLoad(double cores)
    {
        const double each = cores / static_cast<double>(count);
        this->own.cpuUsage.usedCores = each;
        for (std::size_t number = 1; number < count; ++number) {
            const bool isStrong = number < 3;
            GossipMessage message;
            message.instance = InstanceId((isStrong ? "s" : "w") + std::to_string(10 + number));
            message.incarnation = 1;
            message.state = MemberState::Ready;
            message.zone = ZoneId("z");
            message.callerAddress = message.instance.value();
            message.cpuUsage = { isStrong ? strong : weak, each };
            this->members.update(message);
        }
    }

    std::size_t size()
    {
        return this->activeInstances.inZone(ZoneId("z")).size();
    }

    static constexpr std::size_t count = 20;
    ManualClock clock;
    MemberTable members { clock, InstanceId("w00") };
    InstanceInfo own;
    ActiveInstanceSet activeInstances { members, own };
};

}

// Guards against a large fleet in which each instance sees too few requests to know the endpoints, and against requests
// that wait for a weak processor while strong ones are idle.
BOOST_FIXTURE_TEST_CASE(strongInstancesCarryALightLoad, Fixture)
{
    const auto chosen = this->activeInstances.inZone(ZoneId("z"));
    BOOST_REQUIRE(chosen.size() == 2U);
    BOOST_TEST(chosen[0].cpuUsage.availableCores == strong);
    BOOST_TEST(chosen[1].cpuUsage.availableCores == strong);
}

// Guards against a chosen instance that is overloaded while others stand by. Callers spread evenly over the instances,
// so none may get more than it bears.
BOOST_FIXTURE_TEST_CASE(moreInstancesCarryAHeavyLoad, Fixture)
{
    this->setLoad(1.2);
    const auto chosen = this->activeInstances.inZone(ZoneId("z"));
    for (const InstanceInfo &instance : chosen) {
        BOOST_TEST(1.2 / static_cast<double>(chosen.size()) <= instance.cpuUsage.availableCores);
    }
    this->setLoad(100);
    BOOST_TEST(this->size() == count);
}

// Guards against callers that move to and fro between instances while the load varies a little.
BOOST_FIXTURE_TEST_CASE(smallChangesOfLoadMoveNobody, Fixture)
{
    this->setLoad(0.5);
    const std::size_t before = this->size();
    for (const double load : { 0.45, 0.5, 0.4, 0.48 }) {
        this->setLoad(load);
        BOOST_TEST(this->size() == before);
    }
    this->setLoad(0.1);
    BOOST_TEST(this->size() == 2U);
}

// Guards against the loss of all instances that carry work: the next ones have to take over.
BOOST_FIXTURE_TEST_CASE(othersTakeOverFromSilentInstances, Fixture)
{
    this->clock.advance(std::chrono::seconds(2));
    for (std::size_t number = 3; number < count; ++number) {
        GossipMessage message;
        message.instance = InstanceId("w" + std::to_string(10 + number));
        message.incarnation = 1;
        message.state = MemberState::Ready;
        message.zone = ZoneId("z");
        message.cpuUsage = { weak, 0 };
        this->members.update(message);
    }
    this->clock.advance(std::chrono::seconds(2));
    this->members.expireMembers();
    const auto chosen = this->activeInstances.inZone(ZoneId("z"));
    BOOST_REQUIRE(chosen.size() == 2U);
    BOOST_TEST(chosen[0].cpuUsage.availableCores == weak);
}

// Guards against limits of the whole fleet (connections of an endpoint, second sends) that the instances exceed
// together, and against limits that lie idle at instances without work.
BOOST_FIXTURE_TEST_CASE(sharesOfAllInstancesAddUpToOne, Fixture)
{
    const double standingBy = this->activeInstances.ownFleetShare();
    this->own.cpuUsage.availableCores = 1;
    const double carrying = this->activeInstances.ownFleetShare();
    BOOST_TEST(2 * carrying + (count - 2) * standingBy <= 1.0001);
    BOOST_TEST(2 * carrying >= 0.7);
}

// Guards against small fleets in which only some instances are used: each of them is needed.
BOOST_AUTO_TEST_CASE(allInstancesOfASmallFleetCarryWork)
{
    ManualClock clock;
    MemberTable members(clock, InstanceId("self"));
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
