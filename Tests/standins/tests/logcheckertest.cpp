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

json part(const std::string &shard)
{
    return { { "group", shard }, { "snapshot", 2 }, { "request", "r1" }, { "echo", { { "query", "x" } } } };
}

/// A partial answer over three shards of which one is missing, and its log.
struct CheckerFixture
{
    json events { event("started"), event("finished"), event("started", "g1"), event("finished", "g1") };
    json answer { { "request", "r1" },
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
                  { "result", { part("g0"), part("g1") } } };

    /// The only kind of violation found, "" when there is none, or all kinds.
    std::string found() const
    {
        std::string log;
        for (const json &line : this->events) {
            log += line.dump() + "\n";
        }
        const TemporaryFile endpoints(log + R"({"unfinished)");
        const TemporaryFile answers(this->answer.dump() + "\n");
        Program checker("log_checker", { "--endpoints", endpoints.path, "--answers", answers.path });
        std::string line = checker.firstLine();
        for (std::string next = checker.readLine(); !next.empty(); next = checker.readLine()) {
            line = next;
        }
        const json violations = json::parse(line).at("violations");
        BOOST_TEST(checker.wait() == (violations.empty() ? 0 : 1));
        return violations.empty() ? "" : violations.size() == 1 ? violations.begin().key() : violations.dump();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(LogCheckerTest, CheckerFixture)

// Guards against a checker that reports a correct run; a hedge runs an idempotent shard twice.
BOOST_AUTO_TEST_CASE(cleanLogsPass)
{
    events.push_back(event("started"));
    events.push_back(event("cancelled"));
    BOOST_TEST(found() == "");
}

// Guards against a checker that misses a doubled run or a false "not run".
BOOST_AUTO_TEST_CASE(findsDoubledAndDeniedRuns)
{
    answer["idempotent"] = false;
    BOOST_TEST(found() == "");
    events.push_back(event("started"));
    BOOST_TEST(found() == "ran-more-than-once");
    answer["idempotent"] = true;
    answer["status"] = 503;
    answer["run"] = "not-run";
    BOOST_TEST(found() == "not-run-but-started");
    events = json::array();
    BOOST_TEST(found() == "");
}

// Guards against a checker that misses a doubled run at two groups of a pool without shards.
BOOST_AUTO_TEST_CASE(findsDoubledRunsAcrossGroups)
{
    answer = { { "request", "r1" }, { "organisation", "school" }, { "idempotent", false }, { "status", 502 } };
    events[0]["snapshot"] = events[2]["snapshot"] = 0;
    BOOST_TEST(found() == "ran-more-than-once");
}

// Guards against a checker that takes parts of other snapshots, requests or organisations.
BOOST_AUTO_TEST_CASE(findsForeignParts)
{
    answer["result"][1]["snapshot"] = 1;
    BOOST_TEST(found() == "mixed-snapshots");
    answer["result"][1] = part("g1");
    answer["result"][1]["request"] = "r2";
    BOOST_TEST(found() == "part-of-another-request");
    answer["result"][1] = part("g1");
    answer["body"] = { { "query", "y" } };
    BOOST_TEST(found() == "part-of-another-request");
    answer["body"] = { { "query", "x" } };
    events[0]["organisation"] = "club";
    BOOST_TEST(found() == "wrong-organisation");
}

// Guards against a checker that believes the coverage of an answer.
BOOST_AUTO_TEST_CASE(findsUntrueCoverage)
{
    answer["coverage"]["shards-answered"] = 3;
    BOOST_TEST(found() == "coverage-untrue");
    answer["coverage"]["shards-answered"] = 2;
    answer["coverage"]["documents-answered"] = 81;
    BOOST_TEST(found() == "coverage-untrue");
    answer["coverage"]["documents-answered"] = 80;
    answer["coverage"]["missing"][0]["group"] = "g1";
    BOOST_TEST(found() == "missing-but-answered");
    answer["coverage"]["missing"][0]["group"] = "g2";
    events[3]["event"] = "cancelled";
    events[3]["documents"] = 0;
    answer["coverage"]["documents-answered"] = 40;
    BOOST_TEST(found() == "answered-but-not-finished");
    events[3] = event("finished", "g1");
    answer["coverage"]["documents-answered"] = 80;
    answer["result"].push_back(part("g1"));
    BOOST_TEST(found() == "part-repeated");
}

BOOST_AUTO_TEST_SUITE_END()
