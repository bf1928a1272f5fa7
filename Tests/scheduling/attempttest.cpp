#include "scheduling/bench.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AttemptTest)

namespace
{

using Fault = std::function<void(FakeEndpoint &)>;

const std::vector<std::pair<std::string, Fault>> faults {
    { "none",
      [](FakeEndpoint &) {
      } },
    { "draining",
      [](FakeEndpoint &endpoint) {
          endpoint.draining = true;
      } },
    { "refused",
      [](FakeEndpoint &endpoint) {
          endpoint.refusesConnections = true;
      } },
    { "shed",
      [](FakeEndpoint &endpoint) {
          endpoint.shedFrom = 0;
      } },
    { "version",
      [](FakeEndpoint &endpoint) {
          endpoint.versions = { SnapshotVersion(9) };
      } },
    { "lost",
      [](FakeEndpoint &endpoint) {
          endpoint.losesAnswers = true;
      } },
    { "silent",
      [](FakeEndpoint &endpoint) {
          endpoint.silent = true;
      } },
    { "slow",
      [](FakeEndpoint &endpoint) {
          endpoint.slowness = 40;
      } },
    { "wrong version",
      [](FakeEndpoint &endpoint) {
          endpoint.wrongVersion = SnapshotVersion(7);
      } },
};

}

// Guards against work that must not be repeated but runs twice, and against a "not run" of work that ran, over all
// combinations of faults at the three replicas, with and without a cancellation by the caller.
BOOST_AUTO_TEST_CASE(nonIdempotentWorkRunsAtMostOnceAndNotRunIsTrue)
{
    int doubled = 0;
    int untrue = 0;
    int answers = 0;
    for (std::size_t mix = 0; mix < faults.size() * faults.size() * faults.size() * 2; ++mix) {
        Bench bench(100 + mix, false, 1, 2, true);
        std::size_t rest = mix / 2;
        for (auto &[id, endpoint] : bench.transport.endpoints) {
            faults[rest % faults.size()].second(endpoint);
            rest /= faults.size();
        }
        std::map<RequestId, GroupOutcome> ended;
        for (int number = 0; number < 12; ++number) {
            const GroupTask task = bench.task(800ms, false);
            const TaskId id = bench.schedulers[0]->submit(task, [&, task](const GroupOutcome &outcome) {
                BOOST_TEST(ended.emplace(task.request, outcome).second);
            });
            bench.clock.advance(3ms);
            if (mix % 2 == 1 && number % 3 == 0) {
                bench.schedulers[0]->cancel(id);
            }
        }
        bench.clock.advance(60s);
        BOOST_TEST(ended.size() == 12U);
        for (const auto &[request, outcome] : ended) {
            const int runs = bench.transport.runs.count(request) > 0 ? bench.transport.runs[request] : 0;
            doubled += runs > 1 ? 1 : 0;
            untrue += outcome.outcome == AttemptOutcome::NotRun && runs > 0 ? 1 : 0;
            answers += outcome.outcome == AttemptOutcome::Answered ? 1 : 0;
            if (outcome.outcome == AttemptOutcome::Answered) {
                BOOST_TEST((outcome.snapshot == SnapshotVersion(1)));
            }
        }
    }
    BOOST_TEST_MESSAGE("non-idempotent tasks: " << faults.size() * faults.size() * faults.size() * 24 << ", run twice "
                                                << doubled << ", untrue not-run " << untrue << ", answered "
                                                << answers);
    BOOST_TEST(doubled == 0);
    BOOST_TEST(untrue == 0);
    BOOST_TEST(answers > 0);
}

// Guards against a hedge whose loser is forgotten: its slot must stay taken until the transport reports the end.
BOOST_AUTO_TEST_CASE(losingAttemptIsCancelledAndKeepsItsSlot)
{
    Bench bench(41, false, 1, 1, true);
    bench.transport.honoursCancel = false;
    int served = 0;
    bench.transport.service = [&](Random &) {
        return ++served == 1 ? Duration(400ms) : Duration(10ms);
    };
    bench.submit(bench.task());
    bench.clock.advance(100ms);
    BOOST_REQUIRE(bench.outcomes.size() == 1U);
    BOOST_TEST((bench.outcomes[0].outcome == AttemptOutcome::Answered));
    BOOST_TEST(bench.outcomes[0].hedges == 1U);
    BOOST_TEST(bench.transport.cancels == 1U);
    int taken = 0;
    for (const EndpointReport &endpoint : bench.schedulers[0]->state().endpoints) {
        taken += endpoint.running;
    }
    BOOST_TEST(taken == 1);
    for (int task = 0; task < 10; ++task) {
        bench.submit(bench.task());
    }
    bench.clock.advance(600ms);
    BOOST_TEST(bench.outcomes.size() == 11U);
    for (const auto &[id, endpoint] : bench.transport.endpoints) {
        BOOST_TEST(endpoint.mostInFlight == 1);
    }
    BOOST_TEST(bench.counters.value("lycheewall_scheduling_hedges_total{reason=\"straggler\"}") == 1U);
    BOOST_TEST(bench.counters.value("lycheewall_scheduling_answers_dropped_total{reason=\"finished-task\"}") == 1U);
}

// Guards against a hedge while others wait, and against one of work that must not be repeated.
BOOST_AUTO_TEST_CASE(noHedgeWhileTheQueueIsNotEmptyOrForNonIdempotentWork)
{
    Bench bench(42, false, 1, 1, true);
    bench.transport.service = [](Random &) {
        return Duration(200ms);
    };
    for (int task = 0; task < 9; ++task) {
        bench.submit(bench.task(5s));
    }
    bench.clock.advance(390ms);
    BOOST_TEST(bench.total("lycheewall_scheduling_hedges_total") == 0U);
    BOOST_TEST(bench.total("lycheewall_scheduling_hedges_refused_total{reason=\"queue-not-empty\"}") > 0U);
    bench.clock.advance(5s);
    const std::uint64_t before = bench.total("lycheewall_scheduling_hedges_total");
    bench.submit(bench.task(5s, false));
    bench.clock.advance(5s);
    BOOST_TEST(bench.total("lycheewall_scheduling_hedges_total") == before);
    BOOST_TEST(bench.outcomes.size() == 10U);
}

// Guards against idempotent work that hangs on connections which went silent for good, and idle ones that are kept.
BOOST_AUTO_TEST_CASE(silentConnectionFreesIdempotentWork)
{
    Bench bench(43, false, 1, 1, true);
    for (auto &[id, endpoint] : bench.transport.endpoints) {
        endpoint.silent = id != EndpointId("g0e2");
    }
    for (int task = 0; task < 6; ++task) {
        bench.submit(bench.task(5s));
        bench.clock.advance(1200ms);
    }
    bench.clock.advance(5s);
    BOOST_TEST(bench.outcomes.size() == 6U);
    for (const GroupOutcome &outcome : bench.outcomes) {
        BOOST_TEST((outcome.outcome == AttemptOutcome::Answered));
    }
    BOOST_TEST(bench.transport.closed.size() > 0U);
}

// Guards against a version roll that fails parts although another replica has the version, and that keeps asking
// replicas that lack it.
BOOST_AUTO_TEST_CASE(missingVersionIsFoundAtAnotherReplicaOrReported)
{
    Bench bench(44, false, 1, 2, true);
    bench.endpoint("g0e0").versions = { SnapshotVersion(2) };
    bench.endpoint("g0e1").versions = { SnapshotVersion(2) };
    for (int task = 0; task < 20; ++task) {
        bench.submit(bench.task());
        bench.clock.advance(15ms);
    }
    bench.clock.advance(1s);
    BOOST_TEST(bench.outcomes.size() == 20U);
    for (const GroupOutcome &outcome : bench.outcomes) {
        BOOST_TEST((outcome.outcome == AttemptOutcome::Answered));
    }
    BOOST_TEST(bench.total("lycheewall_scheduling_retries_total{reason=\"snapshot-unavailable\"}") <= 6U);
    bench.endpoint("g0e2").versions = { SnapshotVersion(2) };
    bench.submit(bench.task());
    bench.clock.advance(100ms);
    BOOST_REQUIRE(bench.outcomes.size() == 21U);
    BOOST_TEST((bench.outcomes.back().outcome == AttemptOutcome::NotRun));
    BOOST_TEST((bench.outcomes.back().reason == Refusal::SnapshotUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()
