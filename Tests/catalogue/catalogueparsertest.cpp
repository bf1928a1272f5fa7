#include "catalogue/catalogue.h"
#include "catalogue/catalogueerror.h"
#include "catalogue/instancelist.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <random>
#include <sstream>

using namespace Lycheewall;

namespace
{

const std::string hashA(64, 'a');
const std::string hashB(64, 'b');

const std::string validCatalogue = R"(deployment: songlam
zones: [z1, z2]
drained-zones: [z2]
pools:
  search:
    owner: team
    class: interactive
    slots: 2
    connections: 25
    cold-slots: 1
    groups:
      s0:
        endpoints:
          - { id: e0, address: "127.0.0.1:1000", zone: z1 }
      s1:
        endpoints:
          - { id: e1, address: "127.0.0.1:1001", zone: z2, state: leaving }
    snapshots:
      - version: 7
        documents: { s0: 100 }
      - version: 8
        documents: { s0: 50, s1: 60 }
  single:
    owner: team
    class: archive
    open: true
    slots: 3
    connections: 110
    service-ms: 20
    endpoints:
      - { id: f0, address: "127.0.0.1:2000", zone: z1 }
      - { id: f1, address: "127.0.0.1:2001", zone: z1 }
      - { id: f2, address: "127.0.0.1:2002", zone: z1 }
      - { id: f3, address: "127.0.0.1:2003", zone: z1 }
      - { id: f4, address: "[::1]:2004", zone: z1 }
organisations:
  x:
    owner: somebody
    class: editing
    rate: 2.5
    burst: 5
    pools: [search]
    keys:
      - sha256:)"
    + hashA + "\n";

/// The valid catalogue with the first occurrence of @p from replaced.
std::string validCatalogueWith(const std::string &from, const std::string &to)
{
    std::string text = validCatalogue;
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

std::vector<CatalogueProblem> problemsOf(const std::string &text)
{
    auto result = Catalogue::parse(text, "songlam.yaml");
    if (result) {
        return {};
    }
    BOOST_TEST(!result.error().empty());
    return result.error();
}

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(LYCHEEWALL_EXAMPLES) + '/' + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct RuleViolation
{
    std::string from;
    std::string to;
    CatalogueError error;
    /// The complete message without the file name; empty if the test does not compare it.
    std::string message;
};

/// A replacement that violates one rule each, and the problem that must be reported.
const std::vector<RuleViolation> ruleViolations {
    { "deployment: songlam\n",
      "",
      CatalogueError::MissingKey,
      "1: catalogue: key \"deployment\" is missing or has no value" },
    { "deployment: songlam",
      "deployment: \"\"",
      CatalogueError::OutOfRange,
      "1: catalogue: deployment must have 1 to 200 bytes, got 0" },
    { "drained-zones: [z2]",
      "drained-zones: [z9]",
      CatalogueError::UnknownZone,
      "3: catalogue: drained-zones must name zones of the catalogue, got \"z9\"" },
    { "zones: [z1, z2]",
      "zones: [z1, z2, z1]",
      CatalogueError::Duplicate,
      "2: catalogue: zone \"z1\" is listed twice" },
    { "zones: [z1, z2]", "zones: [z1, z2, \"a/b\"]", CatalogueError::BadName, "" },
    { "zones: [z1, z2]", "zones: z1", CatalogueError::WrongType, "2: catalogue: zones must be a list, got \"z1\"" },
    { "pools:",
      "pool:",
      CatalogueError::UnknownKey,
      "4: catalogue: unknown key \"pool\"; the nearest known key is \"pools\"" },
    { "cold-slots",
      "cold-slot",
      CatalogueError::UnknownKey,
      "10: pool \"search\": unknown key \"cold-slot\"; the nearest known key is \"cold-slots\"" },
    { "zone: z1",
      "zome: z1, zone: z1",
      CatalogueError::UnknownKey,
      "14: pool \"search\", endpoint \"e0\": unknown key \"zome\"; the nearest known key is \"zone\"" },
    { "burst: 5", "burst: 5\n    limit: 1", CatalogueError::UnknownKey, "" },
    { "    owner: team\n",
      "",
      CatalogueError::MissingKey,
      "6: pool \"search\": key \"owner\" is missing or has no value" },
    { "class: interactive",
      "class: fast",
      CatalogueError::BadChoice,
      "7: pool \"search\": class must be one of interactive, editing, archive, got \"fast\"" },
    { "class: interactive", "class:", CatalogueError::MissingKey, "" },
    { "slots: 2", "slots: 0", CatalogueError::OutOfRange, "8: pool \"search\": slots must be at least 1, got 0" },
    { "slots: 2",
      "slots: two",
      CatalogueError::WrongType,
      "8: pool \"search\": slots must be a whole number, got \"two\"" },
    { "slots: 2",
      "slots: 99999999999999999999999",
      CatalogueError::OutOfRange,
      "8: pool \"search\": slots must be at most 10000, got 99999999999999999999999" },
    { "slots: 2",
      "slots: [2]",
      CatalogueError::WrongType,
      "8: pool \"search\": slots must be a whole number, got a list" },
    { "slots: 2",
      "slots: 2\n    slots: 3",
      CatalogueError::Duplicate,
      "9: pool \"search\": key \"slots\" is present twice" },
    { "cold-slots: 1",
      "cold-slots: 3",
      CatalogueError::OutOfRange,
      "10: pool \"search\": cold-slots must be at most slots, which is 2, got 3" },
    { "cold-slots: 1",
      "cold-slots: 0",
      CatalogueError::OutOfRange,
      "10: pool \"search\": cold-slots must be at least 1, got 0" },
    { "connections: 25",
      "connections: 2",
      CatalogueError::OutOfRange,
      "9: pool \"search\": connections must be at least 3, got 2" },
    { "service-ms: 20", "service-ms: 0", CatalogueError::OutOfRange, "" },
    { "open: true", "open: yes", CatalogueError::BadChoice, "" },
    { "  single:", "  search:", CatalogueError::Duplicate, "23: catalogue: pool \"search\" is present twice" },
    { "  single:", "  a/b:", CatalogueError::BadName, "" },
    { "      s1:", "      s0:", CatalogueError::Duplicate, "" },
    { "- { id: e0, address: \"127.0.0.1:1000\", zone: z1 }",
      "[]",
      CatalogueError::Empty,
      "14: pool \"search\", group \"s0\": endpoints must have at least one entry" },
    { "    endpoints:\n      - { id: f0",
      "    snapshots: []\n    endpoints:\n      - { id: f0",
      CatalogueError::Conflict,
      "30: pool \"single\": only a pool with groups may have snapshots" },
    { "    snapshots:\n", "    endpoints: []\n    snapshots:\n", CatalogueError::Conflict, "" },
    { "id: e1",
      "id: e0",
      CatalogueError::Duplicate,
      "17: pool \"search\", endpoint \"e0\": endpoint id \"e0\" is present twice" },
    { "id: f0", "id: e0", CatalogueError::Duplicate, "" },
    { "127.0.0.1:1001",
      "127.0.0.1:1000",
      CatalogueError::Duplicate,
      "17: pool \"search\", endpoint \"e1\": address is that of endpoint \"e0\" already" },
    { "127.0.0.1:1001",
      "127.0.0.1:0",
      CatalogueError::BadAddress,
      "17: pool \"search\", endpoint \"e1\": address must be \"ip:port\" with a port from 1 to 65535, got "
      "\"127.0.0.1:0\"" },
    { "127.0.0.1:1001", "127.0.0.1:65536", CatalogueError::BadAddress, "" },
    { "127.0.0.1:1001", "localhost:1001", CatalogueError::BadAddress, "" },
    { "127.0.0.1:1001", "::1:1001", CatalogueError::BadAddress, "" },
    { "zone: z1 }",
      "zone: z3 }",
      CatalogueError::UnknownZone,
      "14: pool \"search\", endpoint \"e0\": zone must be one of the zones of the catalogue, got \"z3\"" },
    { "state: leaving", "state: gone", CatalogueError::BadChoice, "" },
    { "s0: 50",
      "s0: 50, s9: 1",
      CatalogueError::UnknownGroup,
      "22: pool \"search\", snapshot: documents must name groups of the pool, got \"s9\"" },
    { "{ s0: 100 }", "{ s0: -1 }", CatalogueError::OutOfRange, "" },
    { "{ s0: 100 }", "{}", CatalogueError::Empty, "" },
    { "s0: 50", "s0: 50, s0: 51", CatalogueError::Duplicate, "" },
    { "version: 8", "version: 7", CatalogueError::Duplicate, "21: pool \"search\": snapshot 7 is present twice" },
    { "version: 8",
      "version: 6",
      CatalogueError::OutOfRange,
      "21: pool \"search\": snapshots must be listed oldest first, got version 6 after 7" },
    { "version: 7", "version: 0", CatalogueError::OutOfRange, "" },
    { "rate: 2.5", "rate: -1", CatalogueError::OutOfRange, "40: organisation \"x\": rate must be at least 0, got -1" },
    { "rate: 2.5", "rate: nan", CatalogueError::WrongType, "" },
    { "rate: 2.5", "rate: inf", CatalogueError::OutOfRange, "" },
    { "rate: 2.5", "rate: 1e999", CatalogueError::OutOfRange, "" },
    { "burst: 5", "burst: 0", CatalogueError::OutOfRange, "41: organisation \"x\": burst must be at least 1, got 0" },
    { "pools: [search]",
      "pools: [serch]",
      CatalogueError::UnknownPool,
      "42: organisation \"x\": pools must name pools of the catalogue, got \"serch\"" },
    { "pools: [search]", "pools: [search, search]", CatalogueError::Duplicate, "" },
    { "sha256:aa",
      "sha256:ag",
      CatalogueError::BadKeyHash,
      "44: organisation \"x\": entry 1 of keys must be \"sha256:\" and 64 hexadecimal digits" },
    { "sha256:aa", "sha256:a", CatalogueError::BadKeyHash, "" },
    { "sha256:aa", "sha512:aa", CatalogueError::BadKeyHash, "" },
    { "      - sha256",
      "      - sha256:" + hashA + "\n      - sha256",
      CatalogueError::Duplicate,
      "45: organisation \"x\": entry 2 of keys belongs to organisation \"x\" already" },
    { "deployment: songlam", "deployment: &a songlam", CatalogueError::YamlFeature, "1: anchors are not supported" },
    { "deployment: songlam", "deployment: !!str songlam", CatalogueError::YamlFeature, "1: tags are not supported" },
    { "  x:\n", "  x: &loop\n    again: *loop\n", CatalogueError::YamlFeature, "" },
    { "[z1, z2]",
      std::string(18, '[') + std::string(18, ']'),
      CatalogueError::TooDeep,
      "2: values must not nest deeper than 16 levels" },
    { "zones: [z1", "zones: [\xC0\x80", CatalogueError::NotUtf8, "2: the text must be UTF-8" },
    { "zones: [z1", "zones: [\x04", CatalogueError::ControlCharacter, "2: control character 4 is not allowed" },
    { "zones: [z1", "zones: }z1", CatalogueError::NotYaml, "" },
    { "organisations:",
      "---\norganisations:",
      CatalogueError::YamlFeature,
      "37: the file must hold one document only" },
};

}

BOOST_AUTO_TEST_SUITE(CatalogueParserTest)

BOOST_AUTO_TEST_CASE(parsesEveryItem)
{
    const auto result = Catalogue::parse(validCatalogue, "songlam.yaml");
    BOOST_REQUIRE(problemsOf(validCatalogue).empty());
    const Catalogue &catalogue = result.value();
    BOOST_TEST(catalogue.deployment() == "songlam");
    BOOST_TEST(catalogue.zones().size() == 2U);
    BOOST_TEST(catalogue.isDrained(ZoneId("z2")));
    BOOST_TEST(!catalogue.isDrained(ZoneId("z1")));
    const Pool &search = *catalogue.findPool(PoolId("search"));
    BOOST_TEST(search.sharded);
    BOOST_TEST(!search.isPublic);
    BOOST_TEST(search.limits.slots == 2);
    BOOST_TEST(search.limits.connections == 25);
    BOOST_TEST(search.limits.nominalServiceTime.count() == 10);
    const Endpoint &draining = search.findGroup(GroupId("s1"))->endpoints.at(0);
    BOOST_TEST(draining.draining);
    BOOST_TEST(draining.host == "127.0.0.1");
    BOOST_TEST(draining.port == 1001);
    BOOST_TEST(!search.findGroup(GroupId("s0"))->endpoints.at(0).draining);
    BOOST_TEST(search.findGroup(GroupId("s2")) == nullptr);
    BOOST_TEST(search.snapshots.back().version.value() == 8U);
    BOOST_TEST(search.findSnapshot(SnapshotVersion(7))->documents.size() == 1U);
    const Organisation &organisation = *catalogue.findOrganisation(OrganisationId("x"));
    BOOST_TEST(organisation.rate == 2.5);
    BOOST_TEST((organisation.workClass == WorkClass::Editing));
    BOOST_TEST(organisation.keys.at(0).at(31) == 0xAA);
    BOOST_TEST(catalogue.findPool(PoolId("none")) == nullptr);
    BOOST_TEST(catalogue.findOrganisation(OrganisationId("none")) == nullptr);
}

// Guards against instances that group the endpoints of a pool differently. Group ids are lease names, so they may
// depend on the file order only.
BOOST_AUTO_TEST_CASE(groupsEndpointsInFileOrder)
{
    const auto result = Catalogue::parse(validCatalogue, "songlam.yaml");
    BOOST_REQUIRE(result);
    const Pool &single = *result.value().findPool(PoolId("single"));
    BOOST_TEST(!single.sharded);
    BOOST_TEST(single.isPublic);
    BOOST_REQUIRE(single.groups.size() == 2U);
    BOOST_TEST(single.groups[0].id.value() == "g0");
    BOOST_TEST(single.groups[0].endpoints.size() == 4U);
    BOOST_TEST(single.groups[0].endpoints[3].id.value() == "f3");
    BOOST_TEST(single.groups[1].id.value() == "g1");
    BOOST_TEST(single.groups[1].endpoints.at(0).host == "::1");
}

// Guards against a rule that is no longer checked, or whose problem has the wrong line, item or text.
BOOST_AUTO_TEST_CASE(eachRuleViolationIsReported)
{
    for (const RuleViolation &violation : ruleViolations) {
        BOOST_TEST_CONTEXT(violation.from << " -> " << violation.to)
        {
            const auto problems = problemsOf(validCatalogueWith(violation.from, violation.to));
            BOOST_REQUIRE(!problems.empty());
            const bool found = std::any_of(problems.begin(), problems.end(), [&](const CatalogueProblem &problem) {
                return problem.code == violation.error
                    && (violation.message.empty() || problem.message() == "songlam.yaml:" + violation.message);
            });
            BOOST_TEST(found, problems.front().message());
        }
    }
}

// Guards against a parser that stops at the first problem, so that an operator needs one attempt per problem.
BOOST_AUTO_TEST_CASE(returnsAllProblems)
{
    std::string text = validCatalogueWith("slots: 2", "slots: 0");
    text.replace(text.find("burst: 5"), 8, "burst: 0");
    text.replace(text.find("state: leaving"), 14, "state: gone");
    BOOST_TEST(problemsOf(text).size() == 3U);
}

// Guards against an API key in logs: an operator pastes the key in place of its hash, and the error message quotes it.
BOOST_AUTO_TEST_CASE(messageDoesNotContainAnApiKey)
{
    const auto problems = problemsOf(validCatalogueWith("sha256:" + hashA, "secret-key"));
    BOOST_REQUIRE(problems.size() == 1U);
    BOOST_TEST(problems.front().message().find("secret") == std::string::npos);
}

// Guards against malicious text that crashes the parser or makes it take minutes or gigabytes.
BOOST_AUTO_TEST_CASE(hostileTextIsRejectedWithinLimits)
{
    const std::size_t size = 1024UL * 1024UL;
    for (const std::string unit :
         { "[",   "{",   "- ",  "? ", "a: ", "[[", "{a: ", "a\n", "- a\n", "a: b\n", "'",  "\"",   "|\n",
           "*a ", "&a ", "!a ", "#",  "%",   "\n", " ",    "\t",  ",",     "}",      ": ", "[a, ", "---\n" }) {
        std::string text;
        while (text.size() + unit.size() <= size) {
            text += unit;
        }
        BOOST_TEST_CONTEXT("1 MB of " << unit)
        {
            BOOST_TEST(!problemsOf(text).empty());
            BOOST_TEST(problemsOf(text).size() <= 1001U);
        }
    }
    BOOST_TEST((problemsOf(std::string(size + 1, ' ')).front().code == CatalogueError::TooLarge));
    BOOST_TEST(!problemsOf("").empty());
    BOOST_TEST(!problemsOf("~").empty());
    BOOST_TEST(!problemsOf("[]").empty());
}

// Guards against crashes and against a failure without problems for damaged text. The seed makes failures reproducible.
BOOST_AUTO_TEST_CASE(mutatedTextIsParsedOrRejected)
{
    constexpr unsigned seed = 20261204;
    constexpr int runs = 20'000;
    const std::string bytes = "[]{}:,-#&*!|>'\"%@`?~\n\t 0z\xC3\x80\xFF";
    std::mt19937 random(seed);
    const auto below = [&](std::size_t bound) {
        return static_cast<std::size_t>(random() % bound);
    };
    int rejected = 0;
    for (int run = 0; run < runs; ++run) {
        std::string text = validCatalogue;
        for (std::size_t change = 1 + below(4); change > 0; --change) {
            const std::size_t at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = bytes[below(bytes.size())];
                break;
            case 1:
                text.insert(at, 1, bytes[below(bytes.size())]);
                break;
            case 2:
                text.erase(at, 1 + below(12));
                break;
            default:
                text.insert(at, text.substr(below(text.size()), 1 + below(60)));
            }
        }
        auto result = Catalogue::parse(text, "mutated");
        if (!result) {
            ++rejected;
            BOOST_REQUIRE(!result.error().empty());
        }
    }
    BOOST_TEST(rejected > runs / 2);
}

BOOST_AUTO_TEST_CASE(examplesHaveTheirDesignedSizes)
{
    struct ExpectedSizes
    {
        std::string file, pool;
        std::size_t groups, endpoints;
        int slots, connections;
    };
    for (const ExpectedSizes &expected : std::vector<ExpectedSizes> { { "songlam", "marking-portal", 10, 30, 2, 25 },
                                                                      { "songlam", "push-service", 15, 45, 2, 25 },
                                                                      { "songlam", "enrolment", 4, 13, 3, 110 },
                                                                      { "songlam", "notices", 2, 6, 3, 110 },
                                                                      { "craglanka", "route-search", 10, 30, 6, 45 },
                                                                      { "craglanka", "ascent-registry", 15, 45, 6, 45 },
                                                                      { "craglanka", "archive", 9, 35, 3, 40 },
                                                                      { "craglanka", "layout", 5, 17, 3, 40 } }) {
        const auto result = Catalogue::parse(readExample(expected.file + "/catalogue.yaml"), expected.file);
        BOOST_REQUIRE(result);
        BOOST_TEST(result.value().organisations().size() == 8U);
        const Pool *pool = result.value().findPool(PoolId(expected.pool));
        BOOST_REQUIRE(pool != nullptr);
        BOOST_TEST(pool->groups.size() == expected.groups);
        std::size_t endpoints = 0;
        for (const Group &group : pool->groups) {
            std::set<ZoneId> zones;
            for (const Endpoint &endpoint : group.endpoints) {
                zones.insert(endpoint.zone);
            }
            // The replicas of a shard are in different zones, so that draining one zone removes no shard.
            BOOST_TEST((!pool->sharded || zones.size() == group.endpoints.size()));
            endpoints += group.endpoints.size();
        }
        BOOST_TEST(endpoints == expected.endpoints);
        BOOST_TEST(pool->limits.slots == expected.slots);
        BOOST_TEST(pool->limits.connections == expected.connections);
        BOOST_TEST(pool->snapshots.size() == (pool->sharded ? 2U : 0U));
    }
}

BOOST_AUTO_TEST_CASE(invalidInstanceListIsRejectedAsAWhole)
{
    const std::string text = "instances:\n"
                             "  b: { zone: z1, caller-address: \"127.0.0.1:1\", peer-address: \"127.0.0.1:2\" }\n"
                             "  a: { zone: z2, caller-address: \"127.0.0.1:3\", peer-address: \"127.0.0.1:4\", "
                             "state: leaving }\n";
    const auto list = InstanceList::parse(text, "list");
    BOOST_REQUIRE(list);
    BOOST_TEST(list.value().instances().size() == 2U);
    BOOST_TEST((list.value().find(InstanceId("a"))->state == ListedState::ShuttingDown));
    BOOST_TEST(list.value().find(InstanceId("b"))->peerAddress == "127.0.0.1:2");
    BOOST_TEST(list.value().find(InstanceId("c")) == nullptr);
    BOOST_TEST(InstanceList::parse("instances: {}", "list").value().instances().empty());
    const std::vector<std::pair<std::string, std::string>> replacements {
        { "  a:", "  b:" },         { "zone: z1, ", "" },          { "127.0.0.1:4", "127.0.0.1:2" },
        { "127.0.0.1:4", "host" },  { "leaving", "starting" },     { "zone: z2", "zone: \"\"" },
        { "zone: z2", "zoned: 1" }, { "instances:", "instance:" },
    };
    for (const auto &[from, to] : replacements) {
        std::string other = text;
        other.replace(other.find(from), from.size(), to);
        auto result = InstanceList::parse(other, "list");
        BOOST_TEST((!result && !result.error().empty()), from << " -> " << to);
    }
}

BOOST_AUTO_TEST_SUITE_END()
