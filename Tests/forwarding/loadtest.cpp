#include "forwarding/simulatedfleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

// Each case simulates a load pattern that the users describe. The bounds are the credit that the users require on days
// with that pattern, and the fleet-wide retry budget (usage of at most 1).
BOOST_AUTO_TEST_SUITE(ForwardingLoadTest)

namespace
{

/// Credit that the users require on days without faults and on days with high load and faults.
constexpr double minCalmCreditCragwall = 0.959;
constexpr double minCalmCreditSongLam = 0.865;
constexpr double minFaultCreditCragwall = 0.88;
constexpr double minFaultCreditSongLam = 0.805;

constexpr double slowdownFactor = 8;

void printResult(const char *name, const SimulationResult &result)
{
    BOOST_TEST_MESSAGE(name << ": credit " << result.credit << ", requests " << result.requests << ", late "
                            << result.late << ", refused " << result.refused << ", partial " << result.partial
                            << ", budget use " << result.maxBudgetUsage << ", limit use " << result.maxLimitUsage
                            << ", sends " << result.sends << ", other zones " << result.crossZoneSends);
    for (const OrganisationResult &organisation : result.organisations) {
        BOOST_TEST_MESSAGE("    organisation: served " << organisation.served << " of " << organisation.requests);
    }
}

SimulationResult simulate(const char *name, const SimulationPlan &plan)
{
    const SimulationResult result = SimulatedFleet(plan).run();
    printResult(name, result);
    return result;
}

/// Search service of the guidebook publishers: 6 slots, service time 28 ms, pauses of 250 ms every 6 s.
SimulationPlan cragwallPlan()
{
    SimulationPlan plan;
    plan.pauseMs = 250;
    return plan;
}

/// Search service of the schools: 2 slots, service time 11 ms, pauses of 120 ms every 3 s.
SimulationPlan songLamPlan()
{
    SimulationPlan plan;
    plan.instances = 8;
    plan.slots = 2;
    plan.serviceTimeMs = 11;
    plan.pauseMs = 120;
    plan.pausePeriodMs = 3000;
    plan.zoneDelayMs = 0.5;
    plan.callerDelayMs = 3;
    plan.objective = Milliseconds(100);
    plan.timeout = Milliseconds(1000);
    plan.retryLimits.slack = 56;
    return plan;
}

/// Between 2 and 10 s, the service time of endpoints for which @p isSlow returns true is multiplied by @p factor.
SimulationPlan
withSlowEndpoints(SimulationPlan plan, double factor, std::function<bool(std::size_t, std::size_t)> isSlow)
{
    plan.durationSeconds = 12;
    plan.warmUpSeconds = 2;
    plan.slowdown = [factor, isSlow = std::move(isSlow)](std::size_t shard, std::size_t endpoint, double second) {
        return second > 2 && second < 10 && isSlow(shard, endpoint) ? factor : 1.0;
    };
    return plan;
}

bool isOneEndpointOfShard(std::size_t shard, std::size_t endpoint)
{
    return endpoint == shard % 3;
}

}

// Guards against replies that wait for a paused endpoint. Pattern: each endpoint pauses briefly and periodically, at
// times of its own.
BOOST_AUTO_TEST_CASE(endpointPausesUnderNormalLoad)
{
    const SimulationResult cragwall = simulate("cragwall, calm", cragwallPlan());
    BOOST_TEST(cragwall.credit >= minCalmCreditCragwall);
    BOOST_TEST(cragwall.maxBudgetUsage <= 1);
    const SimulationResult songLam = simulate("song lam, calm", songLamPlan());
    BOOST_TEST(songLam.credit >= minCalmCreditSongLam);
    BOOST_TEST(songLam.maxBudgetUsage <= 1);
    // Without extra attempts, a third of the queries are delayed by a paused endpoint.
    SimulationPlan withoutExtraAttempts = songLamPlan();
    withoutExtraAttempts.maxAttempts = 1;
    BOOST_TEST(simulate("song lam, calm, naive", withoutExtraAttempts).credit < songLam.credit);
}

// Guards against sending further requests to slow endpoints. Pattern: one endpoint of each shard is slow for several
// seconds.
BOOST_AUTO_TEST_CASE(oneSlowEndpointInEachShard)
{
    const SimulationResult cragwall
        = simulate("cragwall, slow", withSlowEndpoints(cragwallPlan(), slowdownFactor, &isOneEndpointOfShard));
    BOOST_TEST(cragwall.credit >= minFaultCreditCragwall);
    BOOST_TEST(cragwall.maxBudgetUsage <= 1);
    const SimulationResult songLam
        = simulate("song lam, slow", withSlowEndpoints(songLamPlan(), slowdownFactor, &isOneEndpointOfShard));
    BOOST_TEST(songLam.credit >= minFaultCreditSongLam);
    BOOST_TEST(songLam.maxBudgetUsage <= 1);
}

// Guards against classifying the only fast endpoint of a shard as slow because of its queue. Pattern: in three shards,
// two of three endpoints are slow; in the other shards, one is.
BOOST_AUTO_TEST_CASE(twoSlowEndpointsInSomeShards)
{
    const auto isSlow = [](std::size_t shard, std::size_t endpoint) {
        return isOneEndpointOfShard(shard, endpoint) || (shard < 3 && endpoint == (shard + 1) % 3);
    };
    const SimulationResult cragwall
        = simulate("cragwall, two slow", withSlowEndpoints(cragwallPlan(), slowdownFactor, isSlow));
    BOOST_TEST(cragwall.credit >= minFaultCreditCragwall);
    BOOST_TEST(cragwall.maxBudgetUsage <= 1);
    const SimulationResult songLam
        = simulate("song lam, two slow", withSlowEndpoints(songLamPlan(), slowdownFactor, isSlow));
    BOOST_TEST(songLam.credit >= minFaultCreditSongLam);
    BOOST_TEST(songLam.maxBudgetUsage <= 1);
}

// Guards against queues that grow until no request gets the shard's response on time. Pattern: all endpoints of one
// shard are slow, so that it cannot serve all requests. The bound is the credit of replies without that shard: the
// square of 9/10.
BOOST_AUTO_TEST_CASE(overloadedShard)
{
    constexpr double creditWithoutShard = 0.81;
    const auto isSlow = [](std::size_t shard, std::size_t) {
        return shard == 0;
    };
    for (const SimulationPlan &plan : { cragwallPlan(), songLamPlan() }) {
        const SimulationResult result = simulate("overloaded shard", withSlowEndpoints(plan, 5.8, isSlow));
        BOOST_TEST(result.credit >= creditWithoutShard);
        BOOST_TEST(result.maxBudgetUsage <= 1);
    }
}

namespace
{

/// Search service of the guidebook publishers over 36 shards, with few active instances.
SimulationPlan largeCragwallPlan()
{
    SimulationPlan plan = cragwallPlan();
    plan.zones = 4;
    plan.instances = 8;
    plan.shards = 36;
    plan.requestsPerSecond = 60;
    plan.zoneDelayMs = 0.9;
    plan.queueLimit = 36;
    plan.minShardRatio = 0.95;
    plan.retryLimits.slack = 190;
    return plan;
}

}

// Guards against a fleet in which each instance has to detect each slow endpoint by itself. Pattern: about one in seven
// endpoints of 36 shards is many times slower for several seconds, so that some of them affect every query.
BOOST_AUTO_TEST_CASE(slowEndpointsAcrossManyShards)
{
    const auto isSlow = [](std::size_t shard, std::size_t endpoint) {
        return (shard * 3 + endpoint) * 2654435761U % 100 < 15;
    };
    /// Minimum net value that the users require on days with faults, plus the cost of such a day.
    constexpr double minCredit = 0.56 + 0.19;
    SimulationPlan plan = withSlowEndpoints(largeCragwallPlan(), 11, isSlow);
    const SimulationResult withoutGossip = simulate("36 shards, each instance alone", plan);
    plan.gossipInterval = Milliseconds(200);
    const SimulationResult withGossip = simulate("36 shards, instances tell each other", plan);
    plan.instances = 76;
    plan.gossipInterval = Duration::zero();
    simulate("36 shards, 76 instances, alone", plan);
    plan.instances = 8;
    BOOST_TEST(withGossip.credit >= minCredit);
    BOOST_TEST(withGossip.credit > withoutGossip.credit);
    BOOST_TEST(withGossip.maxBudgetUsage <= 1);
    plan.instances = 76;
    BOOST_TEST(simulate("36 shards, 76 instances", plan).credit < withGossip.credit);
}

namespace
{

/// From 3 s on, endpoints for which @p isLimited returns true name a limit of @p requestsPerSecond.
SimulationPlan
withRateLimits(SimulationPlan plan, double requestsPerSecond, std::function<bool(std::size_t, std::size_t)> isLimited)
{
    plan.durationSeconds = 19;
    plan.warmUpSeconds = 5;
    plan.rateLimit = [=](std::size_t shard, std::size_t endpoint, double second) {
        return second > 3 && isLimited(shard, endpoint) ? std::optional(requestsPerSecond) : std::nullopt;
    };
    return plan;
}

bool isInLimitedShard(std::size_t shard, std::size_t)
{
    return shard < 3;
}

/// Credit of complete replies to as many queries as three shards take that are limited to 33 requests per second and
/// endpoint, and no other reply.
constexpr double creditOfCompleteReplies = 99.0 / 180;

/// As cragwallPlan(), with 60 requests per second for each endpoint.
SimulationPlan loadedCragwallPlan()
{
    SimulationPlan plan = cragwallPlan();
    plan.requestsPerSecond = 180;
    return plan;
}

}

// Guards against endpoints that get more requests than the limit that they name, although the other endpoints of the
// shard could serve them. Pattern: two of three endpoints of each shard are in need.
BOOST_AUTO_TEST_CASE(limitedEndpointsBesideOthers)
{
    const auto isLimited = [](std::size_t shard, std::size_t endpoint) {
        return endpoint != shard % 3;
    };
    const SimulationResult result
        = simulate("limits, others free", withRateLimits(loadedCragwallPlan(), 33, isLimited));
    BOOST_TEST(result.maxLimitUsage <= 1);
    BOOST_TEST(result.credit >= minFaultCreditCragwall);
    BOOST_TEST(result.maxBudgetUsage <= 1);
}

// Guards against shards that get more requests than all their endpoints take together, and against replies that are
// lost for it beyond need. Pattern: all endpoints of three shards are in need, and take 99 of 180 requests per second.
BOOST_AUTO_TEST_CASE(limitedShards)
{
    const SimulationResult result
        = simulate("limited shards", withRateLimits(loadedCragwallPlan(), 33, &isInLimitedShard));
    BOOST_TEST(result.maxLimitUsage <= 1);
    BOOST_TEST(result.credit >= creditOfCompleteReplies);
    BOOST_TEST(result.maxBudgetUsage <= 1);
}

// Guards against shares of a limit that are left to instances without callers, while those with callers refuse queries.
// Pattern: limitedShards, with all callers at three of six instances.
BOOST_AUTO_TEST_CASE(limitedShardsWithIdleInstances)
{
    SimulationPlan plan = withRateLimits(loadedCragwallPlan(), 33, &isInLimitedShard);
    plan.instancesWithCallers = 3;
    const SimulationResult evenShares = simulate("limited shards, idle instances, even shares", plan);
    BOOST_TEST(evenShares.maxLimitUsage <= 1);
    plan.rateGossipInterval = Milliseconds(500);
    const SimulationResult result = simulate("limited shards, idle instances", plan);
    BOOST_TEST(result.maxLimitUsage <= 1);
    BOOST_TEST(result.credit >= creditOfCompleteReplies);
}

// Guards against endpoints that get more requests than their limit because the callers move to other instances faster
// than the shares follow. Pattern: limitedShardsWithIdleInstances, with callers that move to the idle instances at
// once.
BOOST_AUTO_TEST_CASE(limitedShardsWhileCallersMove)
{
    SimulationPlan plan = withRateLimits(loadedCragwallPlan(), 33, &isInLimitedShard);
    plan.instancesWithCallers = 3;
    plan.callersMoveAtSecond = 11;
    plan.rateGossipInterval = Milliseconds(500);
    const SimulationResult result = simulate("limited shards, callers move", plan);
    BOOST_TEST(result.maxLimitUsage <= 1);
}

// Guards against urgent queries that are refused while less urgent ones are served. Pattern: limitedShards, with four
// of ten queries more urgent than the others: 72 queries per second of the 99 that the limited shards take.
BOOST_AUTO_TEST_CASE(urgentQueriesFirstAtLimitedShards)
{
    /// The users allow that a kind of request is served less often than a less urgent one by 5 in 100.
    constexpr double minUrgentFraction = 0.95;
    SimulationPlan plan = withRateLimits(loadedCragwallPlan(), 33, &isInLimitedShard);
    plan.organisations = { { 0.4, 1, 0 }, { 0.6, 2, 0 } };
    const SimulationResult result = simulate("limited shards, two priorities", plan);
    BOOST_TEST(result.maxLimitUsage <= 1);
    BOOST_TEST(result.organisations[0].servedFraction() >= minUrgentFraction);
    BOOST_TEST(result.credit >= creditOfCompleteReplies);
}

// Guards against an organisation whose many queries displace those of others that use less than their share. Pattern:
// limitedShards, with four organisations that may send the same rate; one of them sends six of ten queries.
BOOST_AUTO_TEST_CASE(fairSharesAtLimitedShards)
{
    constexpr double minFractionWithinShare = 0.95;
    /// The users require that an organisation is served at least a quarter as often as all.
    constexpr double minRelativeFraction = 0.25;
    SimulationPlan plan = withRateLimits(loadedCragwallPlan(), 33, &isInLimitedShard);
    plan.organisations = { { 0.6, 1, 100 }, { 0.14, 1, 100 }, { 0.13, 1, 100 }, { 0.13, 1, 100 } };
    const SimulationResult result = simulate("limited shards, one busy organisation", plan);
    BOOST_TEST(result.maxLimitUsage <= 1);
    BOOST_TEST(result.credit >= creditOfCompleteReplies);
    for (std::size_t number = 1; number < plan.organisations.size(); ++number) {
        BOOST_TEST(result.organisations[number].servedFraction() >= minFractionWithinShare);
    }
    const double servedFraction = 1 - static_cast<double>(result.refused) / static_cast<double>(result.requests);
    BOOST_TEST(result.organisations[0].servedFraction() >= minRelativeFraction * servedFraction);
}

// Guards against the same in a fleet with few active instances and many shards. Pattern: seven of ten endpoints.
BOOST_AUTO_TEST_CASE(limitedEndpointsAcrossManyShards)
{
    const auto isLimited = [](std::size_t shard, std::size_t endpoint) {
        return (shard * 3 + endpoint) * 2654435761U % 100 < 70;
    };
    SimulationPlan plan = withRateLimits(largeCragwallPlan(), 20, isLimited);
    plan.requestsPerSecond = 112;
    const SimulationResult result = simulate("36 shards, limits", plan);
    BOOST_TEST(result.maxLimitUsage <= 1);
    BOOST_TEST(result.maxBudgetUsage <= 1);
}

// Guards against missing shard responses because of a crashed endpoint. Pattern: one endpoint of each shard crashes and
// is available again after some seconds.
BOOST_AUTO_TEST_CASE(oneEndpointOfEachShardCrashes)
{
    SimulationPlan plan = cragwallPlan();
    plan.durationSeconds = 12;
    plan.warmUpSeconds = 2;
    plan.isDown = [](std::size_t shard, std::size_t endpoint, double second) {
        return second > 3 && second < 7 && isOneEndpointOfShard(shard, endpoint);
    };
    const SimulationResult result = simulate("cragwall, crash", plan);
    BOOST_TEST(result.credit >= minFaultCreditCragwall);
    BOOST_TEST(result.maxBudgetUsage <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
