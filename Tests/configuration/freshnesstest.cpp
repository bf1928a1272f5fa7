#include "configuration/freshness.h"
#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> result;
    for (int index = 0; index < count; ++index) {
        result.emplace_back("i" + std::to_string(index));
    }
    return result;
}

struct Fixture
{
    ManualClock clock;
    Freshness freshness { clock };
};

}

BOOST_FIXTURE_TEST_SUITE(FreshnessTest, Fixture)

BOOST_AUTO_TEST_CASE(emptyListDependsOnThePlatformAlone)
{
    this->freshness.setMembers({}, false);
    BOOST_TEST(this->freshness.cutOff());
    BOOST_TEST((this->freshness.platformAge() == Duration::max()));
    this->freshness.platformRead();
    BOOST_TEST(!this->freshness.cutOff());
    this->clock.advanceWithoutTimers(3s - 1ms);
    BOOST_TEST(!this->freshness.cutOff());
    this->clock.advanceWithoutTimers(1ms);
    BOOST_TEST(this->freshness.cutOff());
    BOOST_TEST((this->freshness.platformAge() == Duration(3s)));
}

// Guards against half a fleet that counts as a majority: both halves of a partition would go on.
BOOST_AUTO_TEST_CASE(majorityIncludesOneself)
{
    this->freshness.setMembers(instances(3), true);
    this->freshness.heard(InstanceId("i0"));
    BOOST_TEST(this->freshness.cutOff());
    this->freshness.heard(InstanceId("i1"));
    BOOST_TEST(!this->freshness.cutOff());
    this->freshness.setMembers(instances(4), false);
    BOOST_TEST(this->freshness.cutOff());
    this->freshness.heard(InstanceId("i2"));
    BOOST_TEST(!this->freshness.cutOff());
    this->freshness.setMembers({}, true);
    BOOST_TEST(!this->freshness.cutOff());
}

BOOST_AUTO_TEST_CASE(unlistedInstancesAndOldEvidenceDoNotCount)
{
    this->freshness.setMembers(instances(2), true);
    this->freshness.heard(InstanceId("stranger"));
    this->freshness.heard(InstanceId("i0"), this->clock.now() - 3s);
    BOOST_TEST(this->freshness.cutOff());
    this->freshness.heard(InstanceId("i0"));
    this->freshness.heard(InstanceId("i0"), this->clock.now() - 3s);
    BOOST_TEST(!this->freshness.cutOff());
    this->clock.advanceWithoutTimers(2s);
    this->freshness.heard(InstanceId("i1"));
    this->clock.advanceWithoutTimers(2s);
    BOOST_TEST(!this->freshness.cutOff());
    this->clock.advanceWithoutTimers(1s);
    BOOST_TEST(this->freshness.cutOff());
    this->freshness.heard(InstanceId("i0"));
    BOOST_TEST(!this->freshness.cutOff());
}

// Guards against an answer that a timer computed before a pause: no callback runs between the jump and the question.
BOOST_AUTO_TEST_CASE(pausedProcessIsCutOffAtOnce)
{
    this->freshness.setMembers(instances(4), true);
    this->freshness.platformRead();
    for (const InstanceId &instance : instances(4)) {
        this->freshness.heard(instance);
    }
    BOOST_TEST(!this->freshness.cutOff());
    const TimePoint asked = this->clock.now();
    this->clock.advanceWithoutTimers(30s);
    BOOST_TEST(this->freshness.cutOff());
    // Answers that waited in sockets during the pause are as old as their requests.
    this->freshness.platformRead(asked);
    this->freshness.heard(InstanceId("i0"), asked);
    this->freshness.heard(InstanceId("i1"), asked);
    BOOST_TEST(this->freshness.cutOff());
    this->freshness.platformRead();
    BOOST_TEST(!this->freshness.cutOff());
}

BOOST_AUTO_TEST_SUITE_END()
