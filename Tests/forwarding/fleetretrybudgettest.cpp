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

/// Highest number of second sends in any window of the limits, relative to what the limits allow there.
double worstUse(const std::vector<double> &firsts, const std::vector<double> &repeats)
{
    double worst = 0;
    for (const double begin : repeats) {
        const auto inWindow = [begin](double at) {
            return at >= begin && at < begin + 10;
        };
        const auto used = static_cast<double>(std::count_if(repeats.begin(), repeats.end(), inWindow));
        const auto sent = static_cast<double>(std::count_if(firsts.begin(), firsts.end(), inWindow));
        worst = std::max(worst, used / (limits.ratio * sent + limits.slack));
    }
    return worst;
}

/// Plays instances of which each wants to send every request twice. Instances with @p naive know nothing of the fleet.
double play(std::size_t instances, double requestsPerSecond, bool naive, std::uint64_t seed)
{
    ManualClock clock;
    const TimePoint start = clock.now();
    std::vector<std::unique_ptr<FleetRetryBudget>> budgets;
    for (std::size_t made = 0; made < instances; ++made) {
        budgets.push_back(std::make_unique<FleetRetryBudget>(limits, clock));
        budgets.back()->setFleetShare(naive ? 1 : 1.0 / instances);
    }
    std::mt19937_64 engine(seed);
    std::exponential_distribution<double> gap(requestsPerSecond);
    std::vector<double> firsts;
    std::vector<double> repeats;
    const ServiceId service("s");
    while (clock.now() - start < std::chrono::seconds(40)) {
        clock.advance(fromSeconds(gap(engine)));
        const double second = fractionalSeconds(clock.now() - start);
        FleetRetryBudget &retryBudget = *budgets[engine() % instances];
        retryBudget.recordFirstAttempt(service);
        firsts.push_back(second);
        while (retryBudget.tryAcquire(service)) {
            repeats.push_back(second);
        }
    }
    return worstUse(firsts, repeats);
}

}

// Guards against second sends of the fleet beyond its limit, in any window, without messages between instances.
BOOST_AUTO_TEST_CASE(fleetKeepsTheLimitInEachWindow)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
        BOOST_TEST(play(8, 180, false, seed) <= 1);
        BOOST_TEST(play(8, 20, false, seed) <= 1);
        BOOST_TEST(play(75, 500, false, seed) <= 1);
    }
    // The naive version gives each instance the whole slack.
    BOOST_TEST(play(8, 20, true, 1) > 1);
}

// Guards against a budget that begins full after a restart: a fleet that is killed at once would double its slack.
BOOST_AUTO_TEST_CASE(beginsEmpty)
{
    ManualClock clock;
    FleetRetryBudget retryBudget(limits, clock);
    BOOST_TEST(!retryBudget.tryAcquire(ServiceId("s")));
}

// Guards against a budget that is lost on attempts that were never sent.
BOOST_AUTO_TEST_CASE(takesBackWhatWasNotSent)
{
    ManualClock clock;
    FleetRetryBudget retryBudget(limits, clock);
    for (int sent = 0; sent < 6; ++sent) {
        retryBudget.recordFirstAttempt(ServiceId("s"));
    }
    BOOST_TEST(retryBudget.tryAcquire(ServiceId("s")));
    BOOST_TEST(!retryBudget.tryAcquire(ServiceId("s")));
    retryBudget.refund(ServiceId("s"));
    BOOST_TEST(retryBudget.tryAcquire(ServiceId("s")));
}

BOOST_AUTO_TEST_SUITE_END()

}
