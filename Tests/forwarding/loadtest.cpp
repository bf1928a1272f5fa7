#include "forwarding/simulatedfleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ForwardingLoadTest)

namespace
{

void print(const char *name, const SimulationResult &result)
{
    BOOST_TEST_MESSAGE(name << ": credit " << result.credit << ", requests " << result.requests << ", late "
                            << result.late << ", refused " << result.refused << ", partial "
                            << result.withMissingParts << ", budget use " << result.worstBudgetUse << ", sends "
                            << result.sends << ", other zones " << result.otherZoneSends);
}

/// The whole day of Cragwall's search: 6 slots, 28 ms, pauses of 250 ms each 6 s.
SimulationPlan cragwall()
{
    SimulationPlan plan;
    plan.pauseMs = 250;
    return plan;
}

/// Sông Lam's search: 2 slots, 11 ms, pauses of 120 ms each 3 s.
SimulationPlan songLam()
{
    SimulationPlan plan;
    plan.instances = 8;
    plan.slots = 2;
    plan.workMs = 11;
    plan.pauseMs = 120;
    plan.pauseEveryMs = 3000;
    plan.zoneDelayMs = 0.5;
    plan.callerDelayMs = 3;
    plan.objective = Milliseconds(100);
    plan.timeout = Milliseconds(1000);
    plan.repeats.slack = 56;
    return plan;
}

}

BOOST_AUTO_TEST_CASE(trialCalm)
{
    print("cragwall calm", SimulatedFleet(cragwall()).run());
    print("song lam calm", SimulatedFleet(songLam()).run());
}

BOOST_AUTO_TEST_CASE(trialSlow)
{
    for (const int pattern : { 1, 2, 3, 4, 5 }) {
        for (SimulationPlan plan : { cragwall(), songLam() }) {
            plan.seconds = 12;
            plan.countFrom = 2;
            plan.slowness = [pattern](std::size_t shard, std::size_t endpoint, double second) {
                if (pattern >= 4) {
                    return second > 2 && second < 10 && shard + 4 <= static_cast<std::size_t>(pattern) ? 5.8 : 1.0;
                }
                const bool slow = pattern == 1 ? (shard % 2 == 0 && endpoint == (shard / 2) % 3)
                    : pattern == 2             ? endpoint == shard % 3
                                               : endpoint == shard % 3 || (shard < 3 && endpoint == (shard + 1) % 3);
                return second > 2 && second < 10 && slow ? 8.0 : 1.0;
            };
            print("slow", SimulatedFleet(plan).run());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
