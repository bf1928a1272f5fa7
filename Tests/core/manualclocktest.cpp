#include "core/manualclock.h"
#include "core/counters.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Lycheewall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CoreTest)

// Guards against timers that run out of order or after the end of their subscription.
BOOST_AUTO_TEST_CASE(timersRunInOrderUntilTheSubscriptionEnds)
{
    ManualClock clock;
    std::vector<int> ran;
    auto late = clock.after(20ms, [&] { ran.push_back(2); });
    auto early = clock.after(10ms, [&] { ran.push_back(1); });
    auto ended = clock.after(15ms, [&] { ran.push_back(9); });
    auto periodic = clock.every(8ms, [&] { ran.push_back(8); });
    ended.reset();
    clock.advance(20ms);
    BOOST_TEST(ran == (std::vector<int> { 8, 1, 8, 2 }), boost::test_tools::per_element());
    periodic.reset();
    clock.advance(20ms);
    BOOST_TEST(ran.size() == 4U);
}

// Guards against a reason without a code, or two reasons with the same code, which would share one counter.
BOOST_AUTO_TEST_CASE(eachRefusalHasUniqueCode)
{
    for (std::size_t index = 0; index < refusalCount; ++index) {
        const auto refusal = static_cast<Refusal>(index);
        BOOST_TEST(!refusalCode(refusal).empty());
        BOOST_TEST((refusalFromCode(refusalCode(refusal)) == refusal));
    }
}

// Guards against a repeated TYPE line, which is invalid in the Prometheus text exposition format.
BOOST_AUTO_TEST_CASE(expositionHasOneTypeLinePerFamily)
{
    Counters counters;
    counters.countRefusal(Refusal::QueueFull);
    counters.countRefusal(Refusal::QueueFull);
    counters.countRefusal(Refusal::StaleConfiguration);
    BOOST_TEST(counters.exposition()
               == "# TYPE lycheewall_refusals_total counter\n"
                  "lycheewall_refusals_total{reason=\"cut-off\"} 1\n"
                  "lycheewall_refusals_total{reason=\"queue-full\"} 2\n");
}

BOOST_AUTO_TEST_SUITE_END()
