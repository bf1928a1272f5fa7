#include "programs.h"

#include <boost/test/unit_test.hpp>

using namespace Standins;
using nlohmann::json;

namespace
{

const std::string catalogueText = R"(
pools:
  search:
    slots: 2
    connections: 4
    cold-slots: 1
    service-ms: 20
    groups:
      north: { endpoints: [ { id: n0, address: "127.0.0.1:0", zone: a } ] }
    snapshots:
      - { version: 1, documents: { north: 70 } }
      - { version: 2, documents: { north: 90 } }
  notices:
    slots: 1
    connections: 4
    endpoints:
      - { id: w0, address: "127.0.0.1:0", zone: a }
)";

struct EndpointsFixture
{
    TemporaryFile catalogue { catalogueText };
    TemporaryFile log;
    Program program { "standin_endpoints",
                      { "--catalogue",
                        this->catalogue.path,
                        "--log",
                        this->log.path,
                        "--straggler_share=0",
                        "--queue_bound=1",
                        "--caller_keys=secret" } };
    std::uint16_t control = this->program.ports("control").at(0);
    std::uint16_t port = this->stat("n0", "port");
    std::map<std::string, std::string> headers {
        { "Lycheewall-Request", "r1" }, { "Lycheewall-Attempt", "7" },   { "Lycheewall-Organisation", "school" },
        { "Lycheewall-Snapshot", "2" }, { "Lycheewall-Shard", "north" }, { "Lycheewall-Deadline-Ms", "5000" },
    };

    int stat(const std::string &endpoint, const std::string &name) const
    {
        return json::parse(exchange(this->control, "GET", "/stats").body()).at(endpoint).at(name);
    }

    void command(const std::string &path) const
    {
        const HttpResponse answer = exchange(this->control, "POST", path);
        BOOST_TEST(answer.result_int() == 200U, path << ": " << answer.body());
    }

    /// Sends one request and returns why it did not run, or "".
    std::string reason() const
    {
        return std::string(exchange(this->port, "POST", "/run", "{}", this->headers)["Lycheewall-Not-Run"]);
    }

    bool becomes(const std::string &name, int value) const
    {
        return eventually([&] { return this->stat("n0", name) == value; });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(EndpointsTest, EndpointsFixture)

// Guards against an answer of another shard or snapshot, a version served before its time, and a key unnoticed.
BOOST_AUTO_TEST_CASE(answersForItsVersionsOnly)
{
    const HttpResponse answer = exchange(port, "POST", "/run", R"({"query":"x"})", headers);
    const json body = json::parse(answer.body());
    BOOST_TEST(body["documents"] == 90);
    BOOST_TEST(body["result"][0]["echo"]["query"] == "x");
    BOOST_TEST(body["result"][0]["request"] == "r1");
    const std::string incarnation(answer["Lycheewall-Incarnation"]);
    command("/pool/search/versions?list=1");
    BOOST_TEST(reason() == "version");
    BOOST_TEST(exchange(control, "POST", "/pool/search/versions?list=x").result_int() == 400U);
    headers["Lycheewall-Snapshot"] = "1";
    BOOST_TEST(reason() == "");
    headers["Lycheewall-Snapshot"] = "2";
    command("/pool/search/versions?list=1,2");
    BOOST_TEST(reason() == "");
    headers["Lycheewall-Shard"] = "south";
    BOOST_TEST(reason() == "version");
    command("/endpoint/n0/restart");
    BOOST_TEST(std::string(exchange(port, "POST", "/run", "", headers)["Lycheewall-Incarnation"]) != incarnation);
    BOOST_TEST(stat("n0", "key-headers") == 0);
    headers["Authorization"] = "Bearer x";
    headers["X-Other"] = "a secret b";
    reason();
    BOOST_TEST(stat("n0", "key-headers") == 2);
}

// Guards against an endpoint that takes more than its slots, queue, connections or deadline allow.
BOOST_AUTO_TEST_CASE(boundsSlotsQueueAndConnections)
{
    command("/endpoint/n0/service?ms=60000");
    std::deque<Client> clients;
    for (int index = 0; index < 3; ++index) {
        clients.emplace_back(port);
        clients.back().send("POST", "/run", "{}", headers);
        BOOST_TEST(becomes(index < 2 ? "running" : "queued", index < 2 ? index + 1 : 1));
    }
    BOOST_TEST(reason() == "shed");
    BOOST_TEST(becomes("connections", 3));
    Client last(port);
    BOOST_TEST(becomes("connections", 4));
    BOOST_TEST(exchange(port, "GET", "/health").result_int() == 0U);
    BOOST_TEST(stat("n0", "cap-violations") == 1);
    command("/zone/a/drain");
    last.send("POST", "/run", "{}", headers);
    BOOST_TEST(std::string(last.receive()["Lycheewall-Not-Run"]) == "draining");
    BOOST_TEST(stat("n0", "max-concurrent") == 2);
    clients.clear();
    BOOST_TEST(becomes("running", 0));
    BOOST_TEST(stat("n0", "cancelled") + stat("n0", "finished") == stat("n0", "started"));
    command("/zone/a/drain?on=0");
    headers["Lycheewall-Deadline-Ms"] = "0";
    BOOST_TEST(reason() == "shed");
}

// Guards against a cold endpoint that bears more than its cold slots.
BOOST_AUTO_TEST_CASE(coldEndpointFallsOver)
{
    command("/endpoint/n0/service?ms=60000");
    command("/endpoint/n0/cold?ms=60000");
    Client first(port);
    first.send("POST", "/run", "{}", headers);
    BOOST_TEST(becomes("running", 1));
    BOOST_TEST(reason() == "cold");
    BOOST_TEST(reason() == "shed");
    BOOST_TEST(stat("n0", "cold-violations") == 1);
    BOOST_TEST(stat("n0", "max-concurrent") == 1);
}

// Guards against a cancelled run that keeps its slot or is logged as finished, and a silent connection that answers.
BOOST_AUTO_TEST_CASE(cancelAndSilenceAreSeenInTheLog)
{
    command("/endpoint/n0/service?ms=60000");
    Client first(port);
    first.send("POST", "/run", "{}", headers);
    BOOST_TEST(becomes("running", 1));
    BOOST_TEST(json::parse(exchange(port, "POST", "/cancel/7").body())["cancelled"] == true);
    BOOST_TEST(first.receive().result_int() == 409U);
    BOOST_TEST(log.read().find(R"("event":"cancelled","reason":"cancel")") != std::string::npos);
    BOOST_TEST(log.read().find("finished") == std::string::npos);
    command("/endpoint/n0/service?ms=1");
    first.send("GET", "/health");
    BOOST_TEST(first.receive().result_int() == 200U);
    command("/endpoint/n0/silence");
    first.send("GET", "/health");
    BOOST_TEST(reason() == "");
    BOOST_TEST(first.receive(std::chrono::milliseconds(1)).result_int() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
