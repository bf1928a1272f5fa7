#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <ctime>

using namespace Integration;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto readyBound = 20s;

const std::vector<CallerStream> mixedLoad { { "vinh-school-board", "marking-portal", "query", 40 },
                                            { "nghe-an-province", "push-service", "query", 20 },
                                            { "vinh-school-board", "enrolment", "request", 20 },
                                            { "enrolment-office", "enrolment", "once", 10 } };

std::int64_t bootTimeNs()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}

std::string replaced(std::string text, const std::string &before, const std::string &after)
{
    const auto at = text.find(before);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, before.size(), after);
}

/// Moment of the last start at any endpoint of a zone, or of the fleet when @p zone is empty.
std::int64_t lastStart(const Fleet &fleet, const std::string &zone)
{
    std::int64_t last = 0;
    const json stats = fleet.endpointStats();
    for (const auto &[id, endpoint] : stats.items()) {
        if (zone.empty() || endpoint["zone"] == zone) {
            last = std::max(last, endpoint["last-start"].get<std::int64_t>());
        }
    }
    return last;
}

void requireCleanLogs(Fleet &fleet)
{
    std::string violations;
    const json checked = fleet.checkLogs(violations);
    BOOST_TEST_MESSAGE("checker " << checked.dump());
    BOOST_REQUIRE(checked.is_object());
    BOOST_TEST(checked["answers"].get<int>() > 0);
    BOOST_TEST(checked["events"].get<int>() > 0);
    BOOST_TEST(checked["violations"].empty(), violations.substr(0, 2000));
    BOOST_TEST(fleet.endpointSum("cap-violations") == 0U);
    BOOST_TEST(fleet.endpointSum("cold-violations") == 0U);
    BOOST_TEST(fleet.endpointSum("key-headers") == 0U);
}

bool awaitLoad(const Fleet &fleet, std::uint64_t more)
{
    const std::uint64_t before = fleet.endpointSum("finished");
    return waitFor([&] { return fleet.endpointSum("finished") > before + more; }, 15s);
}

}

BOOST_AUTO_TEST_SUITE(FaultTest)

// Guards against new work in a drained zone (promise 4): none starts there 3 s after the publication, under load.
BOOST_AUTO_TEST_CASE(drainedZoneGetsNoNewWork)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(readyBound));
    const auto run = fleet.callers(mixedLoad, 12, { "--mark_seconds", "3" });
    BOOST_REQUIRE(awaitLoad(fleet, 500));
    BOOST_TEST(lastStart(fleet, "sl-b") > 0);
    const std::int64_t published = bootTimeNs();
    fleet.publishCatalogue(replaced(fleet.catalogue(), "drained-zones: []", "drained-zones: [sl-b]"));
    const json summary = run->finish(30s);
    BOOST_REQUIRE(summary.is_object());
    const double lateMs = static_cast<double>(lastStart(fleet, "sl-b") - published) / 1e6;
    BOOST_TEST_MESSAGE("last start in the zone " << lateMs << " ms after the publication; " << summary.dump());
    BOOST_TEST(lateMs < 3000);
    BOOST_TEST(static_cast<double>(lastStart(fleet, "") - published) / 1e6 > 5000);
    BOOST_TEST(summary["complete"] == summary["queries"]);
    requireCleanLogs(fleet);
}

// Guards against a withdrawn key that goes on working (promise 5): the last admitted request is at most 5 s later.
BOOST_AUTO_TEST_CASE(withdrawnKeyStopsWorking)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(readyBound));
    const auto run = fleet.callers({ { "vinh-school-board", "marking-portal", "query", 50 } }, 9);
    BOOST_REQUIRE(awaitLoad(fleet, 500));
    const std::int64_t published = bootTimeNs();
    const std::string key = "sha256:43ff843057f7a74d911de583d7baf9316a36f9ecc55370f3eb68db69ce1f05b5";
    fleet.publishCatalogue(replaced(fleet.catalogue(), key, "sha256:" + std::string(64, '0')));
    const json summary = run->finish(30s);
    BOOST_REQUIRE(summary.is_object());
    const double lateMs = static_cast<double>(lastStart(fleet, "") - published) / 1e6;
    BOOST_TEST_MESSAGE("last start " << lateMs << " ms after the withdrawal; " << summary.dump());
    BOOST_TEST(lateMs < 5000);
    BOOST_TEST(summary["refused"]["key-unknown"].get<int>() > 50);
    requireCleanLogs(fleet);
}

// Guards against rates that count per daemon (promise 6): one organisation at 5 times its rate, spread over all
// daemons.
BOOST_AUTO_TEST_CASE(rateAndBurstHoldAcrossTheFleet)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(readyBound));
    constexpr double rate = 20;
    constexpr double burst = 40;
    constexpr double seconds = 10;
    const auto run = fleet.callers({ { "cua-lo-college", "marking-portal", "query", 5 * rate },
                                     { "nghe-an-province", "marking-portal", "query", 30 } },
                                   seconds);
    const json summary = run->finish(30s);
    BOOST_REQUIRE(summary.is_object());
    BOOST_TEST_MESSAGE(summary.dump());
    const json &greedy = summary["streams"][0];
    const json &modest = summary["streams"][1];
    const double admitted = greedy["queries"].get<double>() - greedy["refused"].value("rate-exceeded", 0.0);
    // Requests that wait for a token may end up to their deadline after the last one was sent.
    BOOST_TEST(admitted <= rate * (seconds + 2) + burst);
    BOOST_TEST(admitted >= 0.9 * rate * seconds);
    BOOST_TEST(modest["complete"].get<double>() >= 0.99 * modest["queries"].get<double>());
    requireCleanLogs(fleet);
}

// Guards against untrue "not run" and doubled runs (promises 8 and 9) when daemons are killed under load.
BOOST_AUTO_TEST_CASE(killedDaemonsNeitherRepeatNorLie)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(readyBound));
    const auto run = fleet.callers({ { "enrolment-office", "enrolment", "once", 14 },
                                     { "vinh-school-board", "enrolment", "once", 60 },
                                     { "vinh-school-board", "marking-portal", "query", 30 } },
                                   14);
    BOOST_REQUIRE(awaitLoad(fleet, 300));
    fleet.daemon(1).signal(SIGKILL);
    BOOST_REQUIRE(awaitLoad(fleet, 500));
    fleet.daemon(4).signal(SIGKILL);
    const json summary = run->finish(40s);
    BOOST_REQUIRE(summary.is_object());
    BOOST_TEST_MESSAGE(summary.dump());
    BOOST_TEST(summary["complete"].get<int>() > 700);
    requireCleanLogs(fleet);
}

// Guards against a daemon that wakes late and goes on with old leases, tokens or configuration.
BOOST_AUTO_TEST_CASE(pausedDaemonWakesWithoutHarm)
{
    Fleet fleet(FleetOptions {});
    BOOST_REQUIRE(fleet.awaitReady(readyBound));
    const auto run = fleet.callers(mixedLoad, 20, { "--mark_seconds", "4" });
    BOOST_REQUIRE(awaitLoad(fleet, 500));
    fleet.daemon(3).signal(SIGSTOP);
    BOOST_REQUIRE(awaitLoad(fleet, 500));
    const std::int64_t published = bootTimeNs();
    const int version
        = fleet.publishCatalogue(replaced(fleet.catalogue(), "drained-zones: []", "drained-zones: [sl-c]"));
    BOOST_TEST(fleet.awaitVersion({ 0, 1, 2, 4, 5 }, "catalogue", version, 5s));
    BOOST_REQUIRE(awaitLoad(fleet, 2500));
    fleet.daemon(3).signal(SIGCONT);
    BOOST_TEST(fleet.awaitVersion({ 3 }, "catalogue", version, 5s));
    const json summary = run->finish(40s);
    BOOST_REQUIRE(summary.is_object());
    const double lateMs = static_cast<double>(lastStart(fleet, "sl-c") - published) / 1e6;
    BOOST_TEST_MESSAGE("last start in the zone " << lateMs << " ms after the publication; " << summary.dump());
    BOOST_TEST(lateMs < 3000);
    requireCleanLogs(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
