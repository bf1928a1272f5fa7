// Shows the whole path with one of the example deployments: fleet_demo songlam|craglanka
#include "fleet.h"

#include <csignal>
#include <iostream>

using namespace Integration;
using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

struct DemoPlan
{
    std::vector<CallerStream> streams;
    std::string drainedZone;
};

DemoPlan planFor(const std::string &deployment)
{
    if (deployment == "craglanka") {
        return { { { "adams-peak-press", "route-search", "query", 30 },
                   { "adams-peak-press", "ascent-registry", "query", 20 },
                   { "adams-peak-press", "archive", "request", 15 },
                   { "", "layout", "request", 15 } },
                 "cl-b" };
    }
    return { { { "vinh-school-board", "marking-portal", "query", 30 },
               { "nghe-an-province", "push-service", "query", 20 },
               { "vinh-school-board", "enrolment", "request", 15 },
               { "enrolment-office", "enrolment", "once", 8 },
               { "", "notices", "request", 15 } },
             "sl-b" };
}

void say(const std::string &text)
{
    std::cout << "* " << text << std::endl;
}

std::string withDrained(std::string catalogue, const std::string &zone)
{
    const std::string before = "drained-zones: []";
    const auto at = catalogue.find(before);
    return catalogue.replace(at, before.size(), "drained-zones: [" + zone + "]");
}

int fail(const std::string &text)
{
    std::cerr << "fleet_demo: " << text << std::endl;
    return 1;
}

int runDemo(const std::string &deployment)
{
    FleetOptions options;
    options.deployment = deployment;
    const DemoPlan plan = planFor(deployment);
    Fleet fleet(options);
    say("The platform, all endpoints of " + deployment + " and 6 daemons are started. Their logs are in "
        + fleet.folder() + ".");
    if (!fleet.awaitReady(20s)) {
        return fail("the daemons did not become ready within 20 s");
    }
    say("All daemons are ready; each group and each organisation has one owner.");
    constexpr double seconds = 12;
    const auto run = fleet.callers(plan.streams, seconds, { "--mark_seconds", "3" });
    say("Callers with their own keys ask which addresses to use and query every pool for 12 s.");
    const auto sent = [&](std::uint64_t count) {
        return fleet.endpointSum("finished") > count;
    };
    if (!waitFor([&] { return sent(500); }, 10s)) {
        return fail("the endpoints did not run 500 sub-requests within 10 s");
    }
    fleet.daemon(2).signal(SIGKILL);
    say("Daemon 2 is killed. Others take over its groups when its leases have run out.");
    const std::uint64_t before = fleet.endpointSum("finished");
    waitFor([&] { return sent(before + 1500); }, 10s);
    const int version = fleet.publishCatalogue(withDrained(fleet.catalogue(), plan.drainedZone));
    say("The operators drain availability zone " + plan.drainedZone + " with catalogue version "
        + std::to_string(version) + ".");
    if (!fleet.awaitVersion({ 0, 1, 3, 4, 5 }, "catalogue", version, 5s)) {
        return fail("the catalogue was not in force on every daemon within 5 s");
    }
    say("It is in force on every daemon. The zone gets no new work; the other replicas serve.");
    json summary = run->finish(40s);
    if (!summary.is_object()) {
        return fail("the callers did not end");
    }
    for (const json &interval : run->intervals()) {
        say("From " + interval["from-s"].dump() + " s: " + interval["queries"].dump() + " requests, "
            + interval["complete"].dump() + " complete, p99 " + interval["p99-ms"].dump() + " ms.");
    }
    std::string violations;
    const json checked = fleet.checkLogs(violations);
    say("The independent checker compared the callers' answers with the endpoints' own log: " + checked.dump());
    summary["deployment"] = deployment;
    summary["cap-violations"] = fleet.endpointSum("cap-violations");
    summary["cold-violations"] = fleet.endpointSum("cold-violations");
    summary["key-headers"] = fleet.endpointSum("key-headers");
    std::cout << summary.dump() << std::endl;
    return checked["violations"].empty() && summary["complete"] > 0 ? 0 : 1;
}

}

int main(int argc, char **argv)
{
    const std::string deployment = argc > 1 ? argv[1] : "songlam";
    if (deployment != "songlam" && deployment != "craglanka") {
        return fail("no such deployment: " + deployment + "; known are songlam and craglanka");
    }
    try {
        return runDemo(deployment);
    } catch (const std::exception &problem) {
        return fail(problem.what());
    }
}
