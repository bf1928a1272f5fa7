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

/// Simulates instances that make as many extra attempts as their budgets allow, and returns the maxUtilisation(). With
/// @p ignoresFleetSize each instance uses the slack of the whole fleet.
double simulateFleet(std::size_t instances, double requestsPerSecond, bool ignoresFleetSize, std::uint64_t seed)
{
    ManualClock clock;
    const TimePoint start = clock.now();
    std::vector<std::unique_ptr<FleetRetryBudget>> budgets;
    for (std::size_t index = 0; index < instances; ++index) {
        budgets.push_back(std::make_unique<FleetRetryBudget>(limits, clock));
        budgets.back()->setFleetShare(ignoresFleetSize ? 1 : 1.0 / instances);
    }
    std::mt19937_64 engine(seed);
    std::exponential_distribution<double> interval(requestsPerSecond);
    std::vector<double> firstAttempts;
    std::vector<double> extraAttempts;
    const ServiceId service("s");
    while (clock.now() - start < std::chrono::seconds(40)) {
        clock.advance(fromSeconds(interval(engine)));
        const double elapsedSeconds = fractionalSeconds(clock.now() - start);
        FleetRetryBudget &retryBudget = *budgets[engine() % instances];
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
        BOOST_TEST(simulateFleet(8, 180, false, seed) <= 1);
        BOOST_TEST(simulateFleet(8, 20, false, seed) <= 1);
        BOOST_TEST(simulateFleet(75, 500, false, seed) <= 1);
    }
    // The limit is exceeded if each instance uses the whole slack, so the simulation can detect a fault.
    BOOST_TEST(simulateFleet(8, 20, true, 1) > 1);
}

// Guards against a budget that is full after a restart: the fleet would use its slack twice when all instances are
// killed at once.
BOOST_AUTO_TEST_CASE(newBudgetIsEmpty)
{
    ManualClock clock;
    FleetRetryBudget retryBudget(limits, clock);
    BOOST_TEST(!retryBudget.tryAcquire(ServiceId("s")));
}

// Guards against a budget that is used up by attempts that were never sent.
BOOST_AUTO_TEST_CASE(refundsUnsentAttempts)
{
    ManualClock clock;
    FleetRetryBudget retryBudget(limits, clock);
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
