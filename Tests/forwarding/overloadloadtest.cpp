#include "forwarding/simulatedfleet.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

// Each case simulates two kinds of queries over the same shards, which are short of room for some seconds: urgent cheap
// ones, and patient ones that need more work.
BOOST_AUTO_TEST_SUITE(OverloadLoadTest)

namespace
{

constexpr std::size_t urgent = 0;
constexpr std::size_t patient = 1;

/// The more urgent kind may be served less often than the other one by 5 in 100, and less often on time by 15 in 100.
constexpr double maxServedDifference = 0.05;
constexpr double maxOnTimeDifference = 0.15;
/// The users require that each kind is served at least a quarter as often as all.
constexpr double minRelativeFraction = 0.25;
/// Fraction of the urgent queries on time in bursts that leave room for all of them.
constexpr double minUrgentOnTime = 0.9;
/// Fraction of the patient queries served if a fifth of the slots is left free during a burst that needs 1.05 times the
/// slots, and no rejected caller returns: all of 600 queries at other times, and 0.8 / 1.05 of 1080.
constexpr double minPatientServed = 0.84;
/// Fraction of the queries that arrive while the endpoints reject none: 5 of 14 s, less 3 in 100.
constexpr double minServedBesideRejections = 0.346;
/// Queries that are sent and fail nevertheless.
constexpr double maxFailedFraction = 0.02;

/// A factor between 3 s and 8 s, and 1 at other times.
std::function<double(double)> burst(double factor)
{
    return [factor](double second) {
        return second > 3 && second < 8 ? factor : 1;
    };
}

SimulatedKind urgentKind(double requestsPerSecond)
{
    SimulatedKind kind;
    kind.name = "urgent";
    kind.requestsPerSecond = requestsPerSecond;
    kind.serviceTimeMs = 9.2;
    kind.objective = Milliseconds(80);
    kind.timeout = Milliseconds(1200);
    kind.minShardRatio = 0.85;
    kind.priority = 0;
    return kind;
}

SimulatedKind patientKind(double requestsPerSecond)
{
    SimulatedKind kind;
    kind.name = "patient";
    kind.requestsPerSecond = requestsPerSecond;
    kind.serviceTimeMs = 28;
    kind.objective = Milliseconds(300);
    kind.timeout = Milliseconds(3000);
    kind.minShardRatio = 0.95;
    kind.priority = 1;
    return kind;
}

/// 20 shards with six slots each, which the endpoints share with a queue six times as long.
SimulationPlan sharedShardsPlan(double urgentPerSecond, double patientPerSecond)
{
    SimulationPlan plan;
    plan.shards = 20;
    plan.slots = 2;
    plan.queueLimit = 12;
    plan.zoneDelayMs = 0.9;
    plan.timeout = Milliseconds(3000);
    plan.retryLimits.slack = 190;
    plan.durationSeconds = 12;
    plan.warmUpSeconds = 1;
    plan.repeats.maxRepeats = 1;
    plan.loadKnowledge = LoadKnowledge::WorkFactors;
    plan.workFactor = [](std::size_t, std::size_t, double) {
        return 1;
    };
    plan.kinds = { urgentKind(urgentPerSecond), patientKind(patientPerSecond) };
    return plan;
}

SimulationResult simulate(const char *name, const SimulationPlan &plan)
{
    SimulationResult result = SimulatedFleet(plan).run();
    BOOST_TEST_MESSAGE(name << ": budget use " << result.maxBudgetUsage << ", sends " << result.sends);
    for (std::size_t number = 0; number < result.kinds.size(); ++number) {
        const KindResult &kind = result.kinds[number];
        BOOST_TEST_MESSAGE("    " << plan.kinds[number].name << ": requests " << kind.requests << ", on time "
                                  << kind.onTime << ", on time after refusal " << kind.onTimeAfterRefusal << ", late "
                                  << kind.late << ", refused " << kind.refused << ", failed " << kind.failed);
    }
    return result;
}

/// A burst of 2.4 of a patient kind that needs three times the work, on shards that then have room for 95 % of it.
SimulationPlan patientBurstPlan()
{
    SimulationPlan plan = sharedShardsPlan(30, 90);
    plan.kinds[patient].rateFactor = burst(2.4);
    return plan;
}

void checkOrderOfKinds(const SimulationResult &result)
{
    const KindResult &first = result.kinds[urgent];
    const KindResult &second = result.kinds[patient];
    BOOST_TEST(first.servedFraction() >= second.servedFraction() - maxServedDifference);
    BOOST_TEST(first.onTimeFraction() >= second.onTimeFraction() - maxOnTimeDifference);
}

void checkPatientBurst(const SimulationResult &result)
{
    BOOST_TEST(result.kinds[urgent].onTimeFraction() >= minUrgentOnTime);
    BOOST_TEST(result.kinds[patient].servedFraction() >= minPatientServed);
    checkOrderOfKinds(result);
}

}

// Guards against urgent queries that are late behind patient ones. Pattern: a burst of 2.4 of a patient kind that needs
// three times the work, on shards that then have room for 95 % of the work.
BOOST_AUTO_TEST_CASE(patientKindBursts)
{
    checkPatientBurst(simulate("burst of 2.4 of the patient kind", patientBurstPlan()));
}

// Guards against callers that lengthen a shortage by repeating rejected queries at once. Pattern: patientKindBursts,
// with callers that ignore Retry-After and repeat up to four times.
BOOST_AUTO_TEST_CASE(patientKindBurstsAndRepeatsAtOnce)
{
    SimulationPlan plan = patientBurstPlan();
    plan.repeats = { 4, 0 };
    checkPatientBurst(simulate("burst of 2.4 of the patient kind, repeats at once", plan));
}

// Guards against decisions that need state which instances have lost. Pattern: all instances start without state, and
// callers that have waited for them send six times the usual for half a second.
BOOST_AUTO_TEST_CASE(callersReturnAfterRestartOfAllInstances)
{
    SimulationPlan plan = sharedShardsPlan(30, 90);
    plan.warmUpSeconds = 0;
    for (SimulatedKind &kind : plan.kinds) {
        kind.rateFactor = [](double second) {
            return second < 0.5 ? 6 : 1;
        };
    }
    const SimulationResult result = simulate("all callers return to restarted instances", plan);
    for (const KindResult &kind : result.kinds) {
        BOOST_TEST(kind.failed <= maxFailedFraction * static_cast<double>(kind.requests));
    }
    checkOrderOfKinds(result);
}

// Guards against instances that take load for theirs alone. Pattern: patientKindBursts, with a third of the instances
// cut off, so that the others get all requests.
BOOST_AUTO_TEST_CASE(patientKindBurstsAtFewerInstances)
{
    SimulationPlan plan = patientBurstPlan();
    plan.instancesWithCallers = 4;
    checkPatientBurst(simulate("burst of 2.4 of the patient kind at four of six instances", plan));
}

// Guards against the same while two thirds of the work find room, and against patient queries that wait at some shards
// and are rejected by others. Pattern: a burst of 3.5 of the patient kind.
BOOST_AUTO_TEST_CASE(patientKindBurstsFarBeyondRoom)
{
    SimulationPlan plan = sharedShardsPlan(30, 90);
    plan.kinds[patient].rateFactor = burst(3.5);
    const SimulationResult result = simulate("burst of 3.5 of the patient kind", plan);
    BOOST_TEST(result.kinds[patient].failed <= maxFailedFraction * static_cast<double>(result.kinds[patient].requests));
    checkOrderOfKinds(result);
}

// Guards against second copies of cheap requests that take the room of urgent expensive ones. Pattern: a burst of 2.4
// of the cheapest kind while the expensive one uses a third of the slots of the same service; both need 1.1 times the
// slots then.
BOOST_AUTO_TEST_CASE(cheapKindBurstsOnSingleService)
{
    SimulationPlan plan = sharedShardsPlan(200, 767);
    plan.shards = 1;
    plan.endpointsPerShard = 6;
    plan.slots = 4;
    plan.queueLimit = 24;
    plan.gossipInterval = Milliseconds(200);
    plan.kinds[urgent].serviceTimeMs = 40;
    plan.kinds[urgent].objective = Milliseconds(120);
    plan.kinds[patient].serviceTimeMs = 10;
    plan.kinds[patient].objective = Milliseconds(150);
    plan.kinds[patient].timeout = Milliseconds(1500);
    plan.kinds[patient].rateFactor = burst(2.4);
    const SimulationResult result = simulate("burst of 2.4 of a cheap kind on one service", plan);
    BOOST_TEST(result.kinds[urgent].onTimeFraction() >= minUrgentOnTime);
    BOOST_TEST(result.kinds[patient].failed <= maxFailedFraction * static_cast<double>(result.kinds[patient].requests));
    checkOrderOfKinds(result);
}

// Guards against urgent queries that displace each other or are late behind patient ones. Pattern: a burst of 1.7 of
// the urgent kind on loaded shards.
BOOST_AUTO_TEST_CASE(urgentKindBursts)
{
    SimulationPlan plan = sharedShardsPlan(150, 150);
    plan.kinds[urgent].rateFactor = burst(1.7);
    const SimulationResult result = simulate("burst of 1.7 of the urgent kind", plan);
    BOOST_TEST(result.kinds[urgent].onTimeFraction() >= minUrgentOnTime);
    checkOrderOfKinds(result);
}

// Guards against a patient kind that gets nothing. Pattern: a burst of 3 of the urgent kind, which leaves room for less
// than half of the patient one.
BOOST_AUTO_TEST_CASE(urgentKindBurstsFarBeyondRoom)
{
    SimulationPlan plan = sharedShardsPlan(150, 150);
    plan.kinds[urgent].rateFactor = burst(3);
    const SimulationResult result = simulate("burst of 3 of the urgent kind", plan);
    const double served = result.kinds[urgent].servedFraction() * static_cast<double>(result.kinds[urgent].requests)
        + result.kinds[patient].servedFraction() * static_cast<double>(result.kinds[patient].requests);
    const double servedFraction = served / static_cast<double>(result.requests);
    BOOST_TEST(result.kinds[patient].servedFraction() >= minRelativeFraction * servedFraction);
    checkOrderOfKinds(result);
}

// Guards against retries for queries that cannot reach their coverage, which leave no retry budget to those that can.
// Pattern: four in five endpoints reject 60 % of the requests for 9 s, whatever their load.
BOOST_AUTO_TEST_CASE(endpointsRejectWithoutLoad)
{
    SimulationPlan plan = sharedShardsPlan(30, 90);
    plan.durationSeconds = 15;
    plan.rejectedFraction = [](std::size_t shard, std::size_t endpoint, double second) {
        const bool rejects = (shard * 3 + endpoint) * 2654435761U % 100 < 80;
        return second > 3 && second < 12 && rejects ? 0.6 : 0;
    };
    const SimulationResult result = simulate("four in five endpoints reject 60 %", plan);
    const KindResult &patientResult = result.kinds[patient];
    // Without the decision, 740 patient queries failed and none was rejected at once.
    BOOST_TEST(patientResult.refused > 0U);
    BOOST_TEST(patientResult.servedFraction() >= minServedBesideRejections);
    BOOST_TEST(result.maxBudgetUsage <= 1);
    checkOrderOfKinds(result);
}

BOOST_AUTO_TEST_SUITE_END()

}
