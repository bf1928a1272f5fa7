#include "forwarding/simulatedfleet.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace Lycheewall
{

// Each case simulates endpoints that report how long work takes there, once with responses that lack the work factor,
// once with it, and once with exact knowledge of all endpoints at any time.
BOOST_AUTO_TEST_SUITE(LoadReportTest)

namespace
{

/// Searches over 36 shards of three endpoints each, whose speeds differ.
SimulationPlan shardedPlan()
{
    SimulationPlan plan;
    plan.zones = 3;
    plan.instances = 9;
    plan.shards = 36;
    plan.queueLimit = 36;
    plan.requestsPerSecond = 80;
    plan.pauseMs = 250;
    plan.zoneDelayMs = 0.9;
    plan.objective = Milliseconds(300);
    plan.timeout = Milliseconds(3000);
    plan.minShardRatio = 0.95;
    plan.retryLimits.slack = 208;
    plan.gossipInterval = Milliseconds(200);
    plan.durationSeconds = 20;
    plan.warmUpSeconds = 4;
    return plan;
}

/// A service of many endpoints that each run few, long requests.
SimulationPlan singleServicePlan()
{
    SimulationPlan plan = shardedPlan();
    plan.shards = 1;
    plan.endpointsPerShard = 46;
    plan.slots = 2;
    plan.queueLimit = 8;
    plan.requestsPerSecond = 60;
    plan.pauseMs = 0;
    plan.serviceTimeMs = 220;
    plan.objective = Milliseconds(800);
    plan.timeout = Milliseconds(15'000);
    plan.durationSeconds = 60;
    return plan;
}

/// Uniform in [0, 1), the same for the same arguments.
double pseudoRandom(std::size_t shard, std::size_t endpoint, std::size_t period)
{
    std::uint64_t value = (shard * 1000 + endpoint) * 1'000'003 + period + 1;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return static_cast<double>(value >> 11U) / static_cast<double>(1ULL << 53U);
}

/// Work takes between 0.5 and 2.7 times as long, and that changes four times a second.
double briefChanges(std::size_t shard, std::size_t endpoint, double second)
{
    const double phase = pseudoRandom(shard, endpoint, 0);
    const auto period = static_cast<std::size_t>((second + phase) * 4) + 1;
    return std::exp(-0.7 + 1.7 * pseudoRandom(shard, endpoint, period));
}

/// In one of seven periods of 4 s, work takes four times as long.
double lastingSlowness(std::size_t shard, std::size_t endpoint, double second)
{
    const double phase = pseudoRandom(shard, endpoint, 0) * 4;
    const auto period = static_cast<std::size_t>((second + phase) / 4) + 1;
    return pseudoRandom(shard, endpoint, period) < 1.0 / 7 ? 4 : 1;
}

double unevenSpeed(std::size_t shard, std::size_t endpoint, double /*second*/)
{
    constexpr double serviceTimeFactors[] = { 0.8, 1.0, 1.3 };
    return serviceTimeFactors[(shard + endpoint + endpoint / 3) % 3];
}

double usualFactor(std::size_t /*shard*/, std::size_t /*endpoint*/, double /*second*/)
{
    return 1;
}

/// Sums and means over simulations with several seeds.
SimulationResult simulate(const char *knowledgeName, SimulationPlan plan, LoadKnowledge knowledge, unsigned seedCount)
{
    plan.loadKnowledge = knowledge;
    SimulationResult total;
    for (plan.seed = 1; plan.seed <= seedCount; ++plan.seed) {
        const SimulationResult result = SimulatedFleet(plan).run();
        total.requests += result.requests;
        total.late += result.late;
        total.partial += result.partial;
        total.sends += result.sends;
        total.crossZoneSends += result.crossZoneSends;
        total.credit += result.credit / seedCount;
        total.meanLatencyMs += result.meanLatencyMs / seedCount;
        total.latency99Ms += result.latency99Ms / seedCount;
        total.maxBudgetUsage = std::max(total.maxBudgetUsage, result.maxBudgetUsage);
    }
    BOOST_TEST_MESSAGE("    " << knowledgeName << ": credit " << total.credit << ", mean " << total.meanLatencyMs
                              << " ms, 99 in 100 within " << total.latency99Ms << " ms, late " << total.late
                              << ", partial " << total.partial << " of " << total.requests << ", sends " << total.sends
                              << ", other zones " << total.crossZoneSends);
    return total;
}

struct Comparison
{
    SimulationResult counts;
    SimulationResult workFactors;
    SimulationResult exact;

    /// Fraction of what exact knowledge would save of the mean latency.
    double savedFraction() const
    {
        return (this->counts.meanLatencyMs - this->workFactors.meanLatencyMs)
            / (this->counts.meanLatencyMs - this->exact.meanLatencyMs);
    }
};

Comparison compare(const char *name, const SimulationPlan &plan, unsigned seedCount = 2)
{
    BOOST_TEST_MESSAGE(name);
    return { simulate("request counts", plan, LoadKnowledge::Counts, seedCount),
             simulate("work factors", plan, LoadKnowledge::WorkFactors, seedCount),
             simulate("exact, without delay", plan, LoadKnowledge::Exact, seedCount) };
}

}

// Guards against reports of slow endpoints that are not used. Pattern: endpoints of a service are slow for some seconds
// and say so.
BOOST_AUTO_TEST_CASE(lastingSlownessOfSingleEndpoints)
{
    SimulationPlan plan = singleServicePlan();
    plan.workFactor = &lastingSlowness;
    const Comparison comparison = compare("one service, lasting slowness", plan);
    BOOST_TEST(comparison.savedFraction() >= 0.5);
    BOOST_TEST(comparison.workFactors.late * 2 <= comparison.counts.late);
}

// Guards against equal treatment of endpoints whose speeds differ by machine. Pattern: endpoints have speeds of their
// own, which they do not report.
BOOST_AUTO_TEST_CASE(unevenSingleEndpoints)
{
    SimulationPlan plan = singleServicePlan();
    plan.workFactor = &usualFactor;
    plan.slowdown = &unevenSpeed;
    BOOST_TEST(compare("one service, uneven endpoints", plan).savedFraction() >= 0.5);
}

// Guards against outdated reports that do harm. Pattern: work factors change several times a second, and most reports
// are older than that.
BOOST_AUTO_TEST_CASE(briefChangesAtSingleEndpoints)
{
    SimulationPlan plan = singleServicePlan();
    plan.workFactor = &briefChanges;
    const Comparison comparison = compare("one service, brief changes", plan);
    BOOST_TEST(comparison.workFactors.meanLatencyMs <= comparison.counts.meanLatencyMs);
}

// Guards against wrong reports that decide. Pattern: one of five endpoints reports three times the usual, always, and
// the others report as usual; all are equally fast.
BOOST_AUTO_TEST_CASE(wrongReportsOfSingleEndpoints)
{
    SimulationPlan plan = singleServicePlan();
    plan.reportedFactor = [](std::size_t shard, std::size_t endpoint, double /*second*/) {
        return pseudoRandom(shard, endpoint, 0) < 0.2 ? 3.0 : 1.0;
    };
    const Comparison comparison = compare("one service, wrong reports", plan);
    BOOST_TEST(comparison.workFactors.credit >= 0.99);
    BOOST_TEST(comparison.workFactors.meanLatencyMs <= 1.05 * comparison.counts.meanLatencyMs);
}

// Guards against load reports that make more queries late. Pattern: many queries over 36 shards whose endpoints are
// slow for some seconds and say so.
BOOST_AUTO_TEST_CASE(lastingSlownessAcrossBusyShards)
{
    constexpr unsigned seedCount = 12;
    SimulationPlan plan = shardedPlan();
    plan.requestsPerSecond = 200;
    plan.durationSeconds = 12;
    plan.workFactor = &lastingSlowness;
    const Comparison comparison = compare("36 busy shards, lasting slowness", plan, seedCount);
    BOOST_TEST(comparison.workFactors.credit > comparison.counts.credit);
    BOOST_TEST(comparison.workFactors.late <= comparison.counts.late);
    BOOST_TEST(comparison.workFactors.maxBudgetUsage <= 1);
}

// Guards against queries over many shards that send more extra attempts because of the reports. Patterns: as above.
BOOST_AUTO_TEST_CASE(changesAcrossManyShards)
{
    SimulationPlan plan = shardedPlan();
    plan.slowdown = &unevenSpeed;
    for (const auto &[name, workFactor] : { std::pair("36 uneven shards, brief changes", &briefChanges),
                                            std::pair("36 uneven shards, lasting slowness", &lastingSlowness),
                                            std::pair("36 uneven shards", &usualFactor) }) {
        plan.workFactor = workFactor;
        const Comparison comparison = compare(name, plan);
        BOOST_TEST(comparison.workFactors.credit >= 0.99);
        BOOST_TEST(comparison.workFactors.sends <= comparison.counts.sends * 1.01);
        BOOST_TEST(comparison.workFactors.maxBudgetUsage <= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
