#include "scheduling/bench.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(GateTest)

namespace
{

/// Drains zone z0 and lets g0e1 leave, as a newer catalogue would.
void drainAndLeave(Bench &bench)
{
    Group group = bench.pool.groups[0];
    group.endpoints[1].draining = true;
    bench.schedulers[0]->update(bench.pool, group, { ZoneId("z0") });
}

/// Starts at e0 and e1 after the update, with hedges (a straggler on e2), retries (e2 sheds) and a queue in play.
std::uint64_t startsAfterDrain(bool naive)
{
    Bench bench(5, naive, 1, 2, true);
    bench.transport.service = exponential(10ms, 20);
    bench.endpoint("g0e2").shedFrom = 2;
    const auto offer = [&](int tasks) {
        for (int task = 0; task < tasks; ++task) {
            bench.submit(bench.task(2s));
            bench.clock.advance(2ms);
        }
    };
    offer(300);
    for (int task = 0; task < 20; ++task) {
        bench.submit(bench.task(2s));
    }
    drainAndLeave(bench);
    const std::uint64_t before = bench.endpoint("g0e0").starts + bench.endpoint("g0e1").starts;
    offer(300);
    bench.clock.advance(3s);
    BOOST_TEST(bench.outcomes.size() == 620U);
    return bench.endpoint("g0e0").starts + bench.endpoint("g0e1").starts - before;
}

/// Starts after the lease was lost during a pause of 30 s with work running and queued.
std::uint64_t startsAfterLostLease(bool naive)
{
    Bench bench(6, naive, 1, 2, true);
    bench.endpoint("g0e0").silent = true;
    bench.endpoint("g0e1").refusesConnections = true;
    for (int task = 0; task < 30; ++task) {
        bench.submit(bench.task(60s));
    }
    bench.clock.advance(15ms);
    bench.ownership.owned = false;
    const std::uint64_t before = bench.transport.starts;
    bench.clock.advanceWithoutTimers(30s);
    bench.clock.advance(0ms);
    bench.submit(bench.task(60s));
    bench.clock.advance(70s);
    BOOST_TEST(bench.outcomes.size() == 31U);
    return bench.transport.starts - before;
}

}

// Guards against work that reaches a drained zone or a leaving endpoint from the queue, by a hedge or by a retry.
BOOST_AUTO_TEST_CASE(drainedZoneAndLeavingEndpointGetNothing)
{
    const std::uint64_t naive = startsAfterDrain(true);
    const std::uint64_t current = startsAfterDrain(false);
    BOOST_TEST_MESSAGE("dispatches to drained or leaving endpoints: naive " << naive << ", current " << current);
    BOOST_TEST(naive > 0U);
    BOOST_TEST(current == 0U);
}

// Guards against an endpoint that returns from a drained zone at full load, and against a group that hangs while all of
// its endpoints are out of service.
BOOST_AUTO_TEST_CASE(returningEndpointStartsColdAndFullyDrainedGroupAnswersAtOnce)
{
    Bench bench(7, false, 1, 2, true);
    const std::set<ZoneId> all { ZoneId("z0"), ZoneId("z1"), ZoneId("z2") };
    bench.schedulers[0]->update(bench.pool, bench.pool.groups[0], all);
    bench.submit(bench.task());
    bench.clock.advance(1ms);
    BOOST_REQUIRE(bench.outcomes.size() == 1U);
    BOOST_TEST((bench.outcomes[0].outcome == AttemptOutcome::NotRun));
    BOOST_TEST((bench.outcomes[0].reason == Refusal::ZoneDrained));
    bench.schedulers[0]->update(bench.pool, bench.pool.groups[0], {});
    BOOST_TEST(bench.schedulers[0]->cold().size() == 3U);
}

// Guards against a former owner that dispatches after its lease ended, also when it wakes from a long pause.
BOOST_AUTO_TEST_CASE(lostOwnershipDispatchesNothing)
{
    const std::uint64_t naive = startsAfterLostLease(true);
    const std::uint64_t current = startsAfterLostLease(false);
    BOOST_TEST_MESSAGE("dispatches after the lease was lost: naive " << naive << ", current " << current);
    BOOST_TEST(naive > 0U);
    BOOST_TEST(current == 0U);
}

// Guards against work whose deadline passed during a pause: it must not run, even when the lease is still valid.
BOOST_AUTO_TEST_CASE(nothingStaleRunsAfterAPause)
{
    Bench bench(8, false, 1, 2, true);
    for (int task = 0; task < 30; ++task) {
        bench.submit(bench.task(200ms));
    }
    BOOST_TEST(bench.transport.starts == 6U);
    bench.clock.advanceWithoutTimers(30s);
    bench.clock.advance(1s);
    BOOST_TEST(bench.transport.starts == 6U);
    BOOST_TEST(bench.outcomes.size() == 30U);
    BOOST_TEST(bench.total("lycheewall_scheduling_refusals_total{reason=\"deadline-unreachable\"}") == 24U);
}

// Guards against an owner that opens more than its third of the connection cap or passes a wrong deadline on.
BOOST_AUTO_TEST_CASE(transportGetsConnectionShareAndRemainingTime)
{
    Bench bench(9, false, 1, 2, true);
    for (int task = 0; task < 7; ++task) {
        bench.submit(bench.task(300ms));
    }
    bench.clock.advance(50ms);
    BOOST_TEST(bench.transport.connectionBudget == 8);
    BOOST_TEST((bench.transport.lastRemaining < 300ms && bench.transport.lastRemaining > 280ms));
}

// Guards against a shutdown that interrupts running work, starts queued work or answers inside the caller's call.
BOOST_AUTO_TEST_CASE(stopFinishesRunningWorkAndRefusesTheRest)
{
    Bench bench(10, false, 1, 2, true);
    for (int task = 0; task < 10; ++task) {
        bench.submit(bench.task());
    }
    int stops = 0;
    bench.schedulers[0]->stop([&] { ++stops; });
    bench.submit(bench.task());
    BOOST_TEST(bench.outcomes.empty());
    bench.clock.advance(1ms);
    BOOST_TEST(bench.outcomes.size() == 5U);
    BOOST_TEST(stops == 0);
    for (const GroupOutcome &outcome : bench.outcomes) {
        BOOST_TEST((outcome.outcome == AttemptOutcome::NotRun && outcome.reason == Refusal::NotOwner));
    }
    bench.clock.advance(50ms);
    BOOST_TEST(bench.outcomes.size() == 11U);
    BOOST_TEST((bench.outcomes.back().outcome == AttemptOutcome::Answered));
    BOOST_TEST(stops == 1);
}

BOOST_AUTO_TEST_SUITE_END()
