#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace Integration;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

std::string edited(const std::string &catalogue, int edit)
{
    return catalogue + "# edit " + std::to_string(edit) + "\n";
}

}

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

// Guards against slow or reverting configuration (promise 12): each change is in force everywhere within 5 s; a daemon
// that restarts while the platform is stale or down gets the newest accepted value from its peers.
BOOST_AUTO_TEST_CASE(changesAreInForceEverywhereAndNeverRevert)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(20s));
    int version = 1;
    for (int edit = 0; edit < 5; ++edit) {
        const auto start = std::chrono::steady_clock::now();
        version = fleet.publishCatalogue(edited(fleet.catalogue(), edit));
        BOOST_TEST(fleet.awaitVersion(fleet.allDaemons(), "catalogue", version, 5s));
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
        BOOST_TEST_MESSAGE("version " << version << " in force everywhere after " << took.count() << " ms");
    }
    const json calls = fleet.platformCalls();
    BOOST_TEST_MESSAGE("platform calls " << calls.dump());

    fleet.platformMode("down");
    fleet.daemon(2).signal(SIGKILL);
    BOOST_TEST(fleet.daemon(2).wait(5s) == 128 + SIGKILL);
    // Without the platform a newcomer does not know its peers; they dial it when their instance id is the smaller one.
    fleet.startDaemon(2);
    for (const int number : fleet.allDaemons()) {
        if (number != 2) {
            BOOST_TEST(fleet.state(number)["catalogue-version"] == version);
        }
    }
    fleet.platformMode("stale");
    BOOST_TEST(fleet.awaitVersion(fleet.allDaemons(), "catalogue", version, 10s));
}

// Guards against a wrong edit that takes effect in part: it is refused whole and named, and the last good one stays.
BOOST_AUTO_TEST_CASE(wrongEditIsRefusedWhole)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(20s));
    std::string wrong = fleet.catalogue();
    wrong.replace(wrong.find("slots: 2"), 8, "slots: 0");
    const int refused = fleet.publishCatalogue(wrong);
    BOOST_TEST(waitFor(
        [&] {
            const json state = fleet.state(0);
            return state.is_object() && !state["refused-configuration"].empty();
        },
        5s));
    const json state = fleet.state(0);
    BOOST_TEST_MESSAGE(state["refused-configuration"].dump());
    BOOST_TEST(state["catalogue-version"] == 1);
    BOOST_TEST(refused == 2);
    const int good = fleet.publishCatalogue(fleet.catalogue());
    BOOST_TEST(fleet.awaitVersion(fleet.allDaemons(), "catalogue", good, 5s));
}

// Guards against service that stops with the platform: queries stay whole through an outage longer than any bound.
BOOST_AUTO_TEST_CASE(serviceGoesOnWhileThePlatformIsDown)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(20s));
    fleet.platformMode("down");
    const auto run = fleet.callers({ { "vinh-school-board", "marking-portal", "query", 30 } }, 10);
    const json summary = run->finish(30s);
    BOOST_REQUIRE(summary.is_object());
    BOOST_TEST_MESSAGE(summary.dump());
    BOOST_TEST(summary["complete"] == summary["queries"]);
}

BOOST_AUTO_TEST_SUITE_END()
