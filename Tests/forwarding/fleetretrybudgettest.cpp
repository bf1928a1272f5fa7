#include "forwarding/fleetretrybudget.h"
#include "core/manualclock.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FleetRetryBudgetTest)

namespace
{

const FleetRetryLimits limits { 0.2, 56, std::chrono::seconds(10) };

constexpr double shareBeforeJoined = 1.0 / 8;

/// Highest number of extra attempts in any window of the limits, divided by the number that the limits allow there.
double maxUtilisation(const std::vector<double> &firstAttempts, const std::vector<double> &extraAttempts)
{
    double highest = 0;
    for (const double windowStart : extraAttempts) {
        const auto inWindow = [windowStart](double time) {
            return time >= windowStart && time < windowStart + 10;
        };
        const auto extraCount
            = static_cast<double>(std::count_if(extraAttempts.begin(), extraAttempts.end(), inWindow));
        const auto firstCount
            = static_cast<double>(std::count_if(firstAttempts.begin(), firstAttempts.end(), inWindow));
        highest = std::max(highest, extraCount / (limits.ratio * firstCount + limits.slack));
    }
    return highest;
}

/// Instances that make as many extra attempts as their budgets allow.
struct FleetPlan
{
    std::size_t instances = 8;
    double requestsPerSecond = 20;
    /// Time without requests after the start of the instances.
    Duration idleTime {};
    /// Times after the first request at which all instances restart at once.
    std::vector<double> restartsAt {};
    /// Time after a start until the instances know the size of the fleet. Until then each takes its share to be an
    /// eighth.
    Duration joinTime {};
    /// Each instance uses the slack of the whole fleet.
    bool ignoresFleetSize = false;
};

/// Simulates the fleet for 40 s of requests, and returns the maxUtilisation().
double simulateFleet(const FleetPlan &plan, std::uint64_t seed)
{
    ManualClock clock;
    Random random(seed);
    std::vector<std::unique_ptr<FleetRetryBudget>> budgets(plan.instances);
    Subscription joinTimer;
    const auto setShares = [&](double share) {
        for (const auto &retryBudget : budgets) {
            retryBudget->setFleetShare(share);
        }
    };
    const double finalShare = plan.ignoresFleetSize ? 1 : 1.0 / static_cast<double>(plan.instances);
    const auto restart = [&] {
        for (auto &retryBudget : budgets) {
            retryBudget = std::make_unique<FleetRetryBudget>(limits, clock, random);
        }
        setShares(plan.joinTime == Duration::zero() ? finalShare : shareBeforeJoined);
        joinTimer = clock.after(plan.joinTime, [&] { setShares(finalShare); });
    };
    restart();
    clock.advance(plan.idleTime);
    const TimePoint start = clock.now();
    std::mt19937_64 engine(seed);
    std::exponential_distribution<double> interval(plan.requestsPerSecond);
    std::vector<double> firstAttempts;
    std::vector<double> extraAttempts;
    std::size_t restarts = 0;
    const ServiceId service("s");
    while (clock.now() - start < std::chrono::seconds(40)) {
        clock.advance(fromSeconds(interval(engine)));
        const double elapsedSeconds = fractionalSeconds(clock.now() - start);
        if (restarts < plan.restartsAt.size() && elapsedSeconds >= plan.restartsAt[restarts]) {
            restart();
            ++restarts;
        }
        FleetRetryBudget &retryBudget = *budgets[engine() % plan.instances];
        retryBudget.recordFirstAttempt(service);
        firstAttempts.push_back(elapsedSeconds);
        while (retryBudget.tryAcquire(service)) {
            extraAttempts.push_back(elapsedSeconds);
        }
    }
    return maxUtilisation(firstAttempts, extraAttempts);
}

}

// Guards against more extra attempts of the fleet than its limit allows, in any window. The instances exchange no
// messages, so each one must keep to its own share.
BOOST_AUTO_TEST_CASE(fleetStaysWithinLimitInEveryWindow)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
        BOOST_TEST(simulateFleet({ 8, 180 }, seed) <= 1);
        BOOST_TEST(simulateFleet({ 8, 20 }, seed) <= 1);
        BOOST_TEST(simulateFleet({ 75, 500 }, seed) <= 1);
    }
    // The limit is exceeded if each instance uses the whole slack, so the simulation can detect a fault.
    FleetPlan faulty;
    faulty.ignoresFleetSize = true;
    BOOST_TEST(simulateFleet(faulty, 1) > 1);
}

// Guards against the same when all instances are killed at once, also twice in a window, and against a window that
// exceeds the limit because the budgets of all instances have accrued during a time without requests.
BOOST_AUTO_TEST_CASE(restartsAndIdleTimeStayWithinLimit)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
        for (const std::size_t instances : { 8U, 24U, 84U }) {
            for (const double requestsPerSecond : { 30.0, 180.0 }) {
                FleetPlan plan;
                plan.instances = instances;
                plan.requestsPerSecond = requestsPerSecond;
                plan.idleTime = std::chrono::seconds(60);
                BOOST_TEST(simulateFleet(plan, seed) <= 1);
                plan.restartsAt = { 4, 7, 15, 16, 17, 18 };
                BOOST_TEST(simulateFleet(plan, seed) <= 1);
            }
        }
    }
}

// Guards against the same when the instances know the size of the fleet only some time after each restart. Their shares
// add up to several times the limit until then.
BOOST_AUTO_TEST_CASE(unknownFleetSizeStaysWithinLimit)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
        for (const std::size_t instances : { 84U, 400U }) {
            FleetPlan plan;
            plan.instances = instances;
            plan.requestsPerSecond = static_cast<double>(instances);
            plan.joinTime = Milliseconds(2100);
            plan.restartsAt = { 4, 7, 10, 13, 16, 19 };
            BOOST_TEST(simulateFleet(plan, seed) <= 1);
        }
    }
}

// Guards against a budget that counts the time before a rise of the share at the new share: when other instances become
// active in place of lost ones, the fleet would use the slack of that time twice.
BOOST_AUTO_TEST_CASE(shareDoesNotCountBackwards)
{
    ManualClock clock;
    Random random(1);
    FleetRetryBudget retryBudget(limits, clock, random);
    retryBudget.setFleetShare(0.001);
    const ServiceId used("used");
    const ServiceId unused("unused");
    retryBudget.recordFirstAttempt(used);
    clock.advance(std::chrono::seconds(60));
    retryBudget.setFleetShare(1);
    for (const ServiceId &service : { used, unused }) {
        int extraAttempts = 0;
        while (retryBudget.tryAcquire(service)) {
            ++extraAttempts;
        }
        BOOST_TEST(extraAttempts <= 1);
    }
}

// Guards against an instance that can make no extra attempt for ten seconds and more after its first request to a
// service, because its share of the slack only begins to accrue then.
BOOST_AUTO_TEST_CASE(slackAccruesBeforeFirstRequest)
{
    ManualClock clock;
    Random random(1);
    FleetRetryBudget retryBudget(limits, clock, random);
    retryBudget.setFleetShare(1.0 / 8);
    clock.advance(std::chrono::seconds(30));
    BOOST_TEST(retryBudget.tryAcquire(ServiceId("s")));
}

// Guards against a fleet of many instances that makes no extra attempt until each one has accrued a whole one: their
// first ones come in proportion to the time since the start.
BOOST_AUTO_TEST_CASE(firstExtraAttemptsOfFleetAreSpread)
{
    constexpr int instances = 1000;
    ManualClock clock;
    Random random(1);
    std::vector<std::unique_ptr<FleetRetryBudget>> budgets;
    for (int index = 0; index < instances; ++index) {
        budgets.push_back(std::make_unique<FleetRetryBudget>(limits, clock, random));
        budgets.back()->setFleetShare(1.0 / 56);
        BOOST_TEST(!budgets.back()->tryAcquire(ServiceId("s")));
    }
    // Each instance accrues an eighth of an extra attempt in the last five seconds of this time.
    clock.advance(std::chrono::seconds(8));
    const auto count = std::count_if(
        budgets.begin(), budgets.end(), [](const auto &budget) { return budget->tryAcquire(ServiceId("s")); });
    constexpr double expected = instances / 8.0;
    BOOST_TEST(static_cast<double>(count) > expected * 0.8);
    BOOST_TEST(static_cast<double>(count) < expected * 1.2);
}

// Guards against a budget that is full after a restart: the fleet would use its slack twice when all instances are
// killed at once.
BOOST_AUTO_TEST_CASE(newBudgetIsEmpty)
{
    ManualClock clock;
    Random random(1);
    FleetRetryBudget retryBudget(limits, clock, random);
    BOOST_TEST(!retryBudget.tryAcquire(ServiceId("s")));
}

// Guards against hedges that take the budget for which a failed request waits, and against a wait that does not count
// the retries that wait already.
BOOST_AUTO_TEST_CASE(waitingRetriesComeFirst)
{
    ManualClock clock;
    Random random(1);
    FleetRetryBudget retryBudget(limits, clock, random);
    const ServiceId service("s");
    const Duration firstWait = retryBudget.expectedWait(service);
    FleetRetryBudget::WaitTicketPtr ticket = retryBudget.addWaitingRetry(service);
    BOOST_TEST((retryBudget.expectedWait(service) > firstWait));
    clock.advance(firstWait + Milliseconds(1));
    BOOST_TEST(!retryBudget.tryAcquire(service, ExtraAttempt::Hedge));
    ticket.reset();
    BOOST_TEST(retryBudget.tryAcquire(service, ExtraAttempt::Hedge));
}

// Guards against a budget that is used up by attempts that were never sent.
BOOST_AUTO_TEST_CASE(refundsUnsentAttempts)
{
    ManualClock clock;
    Random random(1);
    FleetRetryBudget retryBudget(limits, clock, random);
    for (int request = 0; request < 6; ++request) {
        retryBudget.recordFirstAttempt(ServiceId("s"));
    }
    BOOST_TEST(retryBudget.tryAcquire(ServiceId("s")));
    BOOST_TEST(!retryBudget.tryAcquire(ServiceId("s")));
    retryBudget.refund(ServiceId("s"));
    BOOST_TEST(retryBudget.tryAcquire(ServiceId("s")));
}

BOOST_AUTO_TEST_SUITE_END()

}
