#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace Integration;
using namespace std::chrono_literals;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(ReplacementTest)

// Guards against a shutdown that cuts requests (promise 11) and against caps exceeded by two generations of owners:
// every daemon is replaced, one after the other, under load, with callers that keep their addresses.
BOOST_AUTO_TEST_CASE(rollingReplacementCutsNothing)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(20s));
    constexpr double seconds = 40;
    const auto run = fleet.callers({ { "vinh-school-board", "marking-portal", "query", 40 },
                                     { "nghe-an-province", "push-service", "query", 20 },
                                     { "vinh-school-board", "enrolment", "once", 20 } },
                                   seconds,
                                   { "--mark_seconds", "5" });
    for (const int number : fleet.allDaemons()) {
        fleet.daemon(number).signal(SIGTERM);
        BOOST_TEST(fleet.daemon(number).wait(20s) == 0);
        fleet.startDaemon(number);
        BOOST_TEST(waitFor(
            [&] {
                const json state = fleet.state(number);
                return state.is_object() && state["state"] == "ready";
            },
            15s));
    }
    const json summary = run->finish(60s);
    BOOST_REQUIRE(summary.is_object());
    BOOST_TEST_MESSAGE(summary.dump());
    BOOST_TEST(summary["cut"] == 0);
    BOOST_TEST(summary["complete"] == summary["queries"]);
    BOOST_TEST(fleet.endpointSum("cap-violations") == 0U);
    BOOST_TEST(fleet.endpointSum("cold-violations") == 0U);
    std::string violations;
    const json checked = fleet.checkLogs(violations);
    BOOST_TEST(checked["violations"].empty(), violations.substr(0, 2000));
}

BOOST_AUTO_TEST_SUITE_END()
