#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace Integration;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WholePathTest)

// Guards against a path that loses answers: every pool of a deployment answers wholly, and both logs agree.
BOOST_AUTO_TEST_CASE(everyPoolAnswersWholly)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(20s));
    const auto run = fleet.callers({ { "vinh-school-board", "marking-portal", "query", 40 },
                                     { "nghe-an-province", "push-service", "query", 20 },
                                     { "vinh-school-board", "enrolment", "request", 20 },
                                     { "enrolment-office", "enrolment", "once", 10 },
                                     { "", "notices", "request", 10 } },
                                   4);
    const nlohmann::json summary = run->finish(20s);
    BOOST_TEST_MESSAGE(summary.dump());
    BOOST_REQUIRE(summary.is_object());
    BOOST_TEST(summary["queries"] == summary["complete"]);
    BOOST_TEST(summary["queries"].get<int>() > 200);
    std::string violations;
    const nlohmann::json checked = fleet.checkLogs(violations);
    BOOST_TEST(checked["violations"].empty(), violations);
    BOOST_TEST(fleet.endpointSum("cap-violations") == 0U);
    BOOST_TEST(fleet.endpointSum("cold-violations") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
