#include "forwarding/simulatedfleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

// Each case plays a load that the users' pages name. Bounds are the marks that the users set for days of that kind, and
// the fleet's limit on second sends (use of 1).
BOOST_AUTO_TEST_SUITE(ForwardingLoadTest)

namespace
{

/// Marks for a calm day and for days of high load with trouble.
constexpr double calmCragwall = 0.959;
constexpr double calmSongLam = 0.865;
constexpr double troubleCragwall = 0.88;
constexpr double troubleSongLam = 0.805;

constexpr double slowFactor = 8;

void print(const char *name, const SimulationResult &result)
{
    BOOST_TEST_MESSAGE(name << ": credit " << result.credit << ", requests " << result.requests << ", late "
                            << result.late << ", refused " << result.refused << ", partial " << result.withMissingParts
                            << ", budget use " << result.worstBudgetUse << ", sends " << result.sends
                            << ", other zones " << result.otherZoneSends);
}

SimulationResult play(const char *name, const SimulationPlan &plan)
{
    const SimulationResult result = SimulatedFleet(plan).run();
    print(name, result);
    return result;
}

/// Search of the guidebook publishers: 6 slots, 28 ms, pauses of 250 ms each 6 s.
SimulationPlan cragwall()
{
    SimulationPlan plan;
    plan.pauseMs = 250;
    return plan;
}

/// Search of the schools: 2 slots, 11 ms, pauses of 120 ms each 3 s.
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

/// From 2 to 10 s, endpoints for which @p isSlow holds need several times as long.
SimulationPlan withSlow(SimulationPlan plan, double factor, std::function<bool(std::size_t, std::size_t)> isSlow)
{
    plan.seconds = 12;
    plan.countFrom = 2;
    plan.slowness = [factor, isSlow = std::move(isSlow)](std::size_t shard, std::size_t endpoint, double second) {
        return second > 2 && second < 10 && isSlow(shard, endpoint) ? factor : 1.0;
    };
    return plan;
}

bool oneOfThree(std::size_t shard, std::size_t endpoint)
{
    return endpoint == shard % 3;
}

}

// Pattern: endpoints pause for a moment, each at its own time. Guards against answers that wait for a paused endpoint.
BOOST_AUTO_TEST_CASE(calmLoadWithPauses)
{
    const SimulationResult crag = play("cragwall, calm", cragwall());
    BOOST_TEST(crag.credit >= calmCragwall);
    BOOST_TEST(crag.worstBudgetUse <= 1);
    const SimulationResult song = play("song lam, calm", songLam());
    BOOST_TEST(song.credit >= calmSongLam);
    BOOST_TEST(song.worstBudgetUse <= 1);
    // Without second sends, a third of the queries meets a paused endpoint.
    SimulationPlan naive = songLam();
    naive.maxAttempts = 1;
    BOOST_TEST(play("song lam, calm, naive", naive).credit < song.credit);
}

// Pattern: one endpoint of each shard is slow for seconds. Guards against work that goes back to slow endpoints.
BOOST_AUTO_TEST_CASE(oneSlowEndpointInEachShard)
{
    const SimulationResult crag = play("cragwall, slow", withSlow(cragwall(), slowFactor, &oneOfThree));
    BOOST_TEST(crag.credit >= troubleCragwall);
    BOOST_TEST(crag.worstBudgetUse <= 1);
    const SimulationResult song = play("song lam, slow", withSlow(songLam(), slowFactor, &oneOfThree));
    BOOST_TEST(song.credit >= troubleSongLam);
    BOOST_TEST(song.worstBudgetUse <= 1);
}

// Pattern: in three shards, two of three endpoints are slow. Guards against the one fast endpoint being taken for slow
// because of its queue.
BOOST_AUTO_TEST_CASE(twoSlowEndpointsInSomeShards)
{
    const auto isSlow = [](std::size_t shard, std::size_t endpoint) {
        return oneOfThree(shard, endpoint) || (shard < 3 && endpoint == (shard + 1) % 3);
    };
    const SimulationResult crag = play("cragwall, two slow", withSlow(cragwall(), slowFactor, isSlow));
    BOOST_TEST(crag.credit >= troubleCragwall);
    BOOST_TEST(crag.worstBudgetUse <= 1);
    const SimulationResult song = play("song lam, two slow", withSlow(songLam(), slowFactor, isSlow));
    BOOST_TEST(song.credit >= troubleSongLam);
    BOOST_TEST(song.worstBudgetUse <= 1);
}

// Pattern: all endpoints of one shard are slow, so that it cannot do all the work in time. Guards against a pile-up in
// which nobody gets its part: leaving the shard out altogether is worth the square of 9 in 10.
BOOST_AUTO_TEST_CASE(shardThatIsOverloaded)
{
    constexpr double withoutTheShard = 0.81;
    const auto isSlow = [](std::size_t shard, std::size_t) {
        return shard == 0;
    };
    for (const SimulationPlan &plan : { cragwall(), songLam() }) {
        const SimulationResult result = play("overloaded shard", withSlow(plan, 5.8, isSlow));
        BOOST_TEST(result.credit >= withoutTheShard);
        BOOST_TEST(result.worstBudgetUse <= 1);
    }
}

namespace
{

/// Search of the guidebook publishers over 36 shards, as one that only few instances carry.
SimulationPlan grownCragwall()
{
    SimulationPlan plan = cragwall();
    plan.zones = 4;
    plan.instances = 8;
    plan.shards = 36;
    plan.requestsPerSecond = 60;
    plan.zoneDelayMs = 0.9;
    plan.queueLimit = 36;
    plan.minShardRatio = 0.95;
    plan.repeats.slack = 190;
    return plan;
}

}

// Pattern: one in seven endpoints of 36 shards is many times slower for seconds, so that each query meets some. Guards
// against a fleet in which each instance has to find out by itself about each slow endpoint.
BOOST_AUTO_TEST_CASE(slowEndpointsAcrossManyShards)
{
    const auto isSlow = [](std::size_t shard, std::size_t endpoint) {
        return (shard * 3 + endpoint) * 2654435761U % 100 < 15;
    };
    /// The users' mark of worth for days with trouble and the prices of such a day.
    constexpr double marked = 0.56 + 0.19;
    SimulationPlan plan = withSlow(grownCragwall(), 11, isSlow);
    const SimulationResult alone = play("36 shards, each instance alone", plan);
    plan.tellPeriod = Milliseconds(200);
    const SimulationResult told = play("36 shards, instances tell each other", plan);
    plan.instances = 76;
    plan.tellPeriod = Duration::zero();
    play("36 shards, 76 instances, alone", plan);
    plan.instances = 8;
    BOOST_TEST(told.credit >= marked);
    BOOST_TEST(told.credit > alone.credit);
    BOOST_TEST(told.worstBudgetUse <= 1);
    plan.instances = 76;
    BOOST_TEST(play("36 shards, 76 instances", plan).credit < told.credit);
}

// Pattern: one endpoint of each shard crashes and comes back. Guards against parts that are lost with it.
BOOST_AUTO_TEST_CASE(oneEndpointOfEachShardCrashes)
{
    SimulationPlan plan = cragwall();
    plan.seconds = 12;
    plan.countFrom = 2;
    plan.down = [](std::size_t shard, std::size_t endpoint, double second) {
        return second > 3 && second < 7 && oneOfThree(shard, endpoint);
    };
    const SimulationResult result = play("cragwall, crash", plan);
    BOOST_TEST(result.credit >= troubleCragwall);
    BOOST_TEST(result.worstBudgetUse <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
