#include "programs.h"

#include <boost/test/unit_test.hpp>

using namespace Standins;
using nlohmann::json;

namespace
{

json event(const std::string &name, const std::string &shard = "g0")
{
    return { { "event", name },     { "request", "r1" }, { "organisation", "school" }, { "pool", "search" },
             { "snapshot", 2 },     { "shard", shard },  { "endpoint", "e-" + shard }, { "documents", 40 },
             { "time", 1'000'000 }, { "attempt", "7" } };
}

json shardResponse(const std::string &shard)
{
    return { { "group", shard }, { "snapshot", 2 }, { "request", "r1" }, { "echo", { { "query", "x" } } } };
}

/// A partial reply, with one of three shards missing, and the events that the endpoints logged for it.
struct CheckerFixture
{
    json events { event("started"), event("finished"), event("started", "g1"), event("finished", "g1") };
    json reply { { "request", "r1" },
                 { "organisation", "school" },
                 { "pool", "search" },
                 { "idempotent", true },
                 { "status", 200 },
                 { "snapshot", 2 },
                 { "body", { { "query", "x" } } },
                 { "coverage",
                   { { "shards-asked", 3 },
                     { "shards-answered", 2 },
                     { "documents-asked", 120 },
                     { "documents-answered", 80 },
                     { "missing", { { { "group", "g2" }, { "reason", "deadline-exceeded" } } } } } },
                 { "result", { shardResponse("g0"), shardResponse("g1") } } };

    /// Runs the checker. Returns the kind of violation found, "" if there is none, or all kinds as JSON if there are
    /// several.
    std::string foundViolation() const
    {
        std::string log;
        for (const json &line : this->events) {
            log += line.dump() + "\n";
        }
        const TemporaryFile endpoints(log + R"({"unfinished)");
        const TemporaryFile replies(this->reply.dump() + "\n");
        Program checker("log_checker", { "--endpoints", endpoints.path, "--answers", replies.path });
        std::string line = checker.firstLine();
        for (std::string nextLine = checker.readLine(); !nextLine.empty(); nextLine = checker.readLine()) {
            line = nextLine;
        }
        const json violations = json::parse(line).at("violations");
        BOOST_TEST(checker.wait() == (violations.empty() ? 0 : 1));
        return violations.empty() ? "" : violations.size() == 1 ? violations.begin().key() : violations.dump();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(LogCheckerTest, CheckerFixture)

// Guards against a checker that reports violations for correct logs, in which a hedge ran an idempotent request twice.
BOOST_AUTO_TEST_CASE(consistentLogsPass)
{
    events.push_back(event("started"));
    events.push_back(event("cancelled"));
    BOOST_TEST(foundViolation() == "");
}

// Guards against a checker that misses a repeated run of a non-idempotent request, or a run of a request that was
// reported as "not-run".
BOOST_AUTO_TEST_CASE(reportsRepeatedRunsAndFalseNotRun)
{
    reply["idempotent"] = false;
    BOOST_TEST(foundViolation() == "");
    events.push_back(event("started"));
    BOOST_TEST(foundViolation() == "ran-more-than-once");
    reply["idempotent"] = true;
    reply["status"] = 503;
    reply["run"] = "not-run";
    BOOST_TEST(foundViolation() == "not-run-but-started");
    events = json::array();
    BOOST_TEST(foundViolation() == "");
}

// Guards against a checker that misses runs of one non-idempotent request in two groups of a pool without shards.
BOOST_AUTO_TEST_CASE(reportsRepeatedRunsAcrossGroups)
{
    reply = { { "request", "r1" }, { "organisation", "school" }, { "idempotent", false }, { "status", 502 } };
    events[0]["snapshot"] = events[2]["snapshot"] = 0;
    BOOST_TEST(foundViolation() == "ran-more-than-once");
}

// Guards against a checker that accepts shard responses of other snapshots, requests or organisations.
BOOST_AUTO_TEST_CASE(reportsForeignShardResponses)
{
    reply["result"][1]["snapshot"] = 1;
    BOOST_TEST(foundViolation() == "mixed-snapshots");
    reply["result"][1] = shardResponse("g1");
    reply["result"][1]["request"] = "r2";
    BOOST_TEST(foundViolation() == "part-of-another-request");
    reply["result"][1] = shardResponse("g1");
    reply["body"] = { { "query", "y" } };
    BOOST_TEST(foundViolation() == "part-of-another-request");
    reply["body"] = { { "query", "x" } };
    events[0]["organisation"] = "club";
    BOOST_TEST(foundViolation() == "wrong-organisation");
}

// Guards against a checker that trusts the coverage in a reply, without comparing it with the result and the log.
BOOST_AUTO_TEST_CASE(reportsIncorrectCoverage)
{
    reply["coverage"]["shards-answered"] = 3;
    BOOST_TEST(foundViolation() == "coverage-untrue");
    reply["coverage"]["shards-answered"] = 2;
    reply["coverage"]["documents-answered"] = 81;
    BOOST_TEST(foundViolation() == "coverage-untrue");
    reply["coverage"]["documents-answered"] = 80;
    reply["coverage"]["missing"][0]["group"] = "g1";
    BOOST_TEST(foundViolation() == "missing-but-answered");
    reply["coverage"]["missing"][0]["group"] = "g2";
    events[3]["event"] = "cancelled";
    events[3]["documents"] = 0;
    reply["coverage"]["documents-answered"] = 40;
    BOOST_TEST(foundViolation() == "answered-but-not-finished");
    events[3] = event("finished", "g1");
    reply["coverage"]["documents-answered"] = 80;
    reply["result"].push_back(shardResponse("g1"));
    BOOST_TEST(foundViolation() == "part-repeated");
}

BOOST_AUTO_TEST_SUITE_END()
