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
        const HttpResponse response = exchange(this->control, "POST", path);
        BOOST_TEST(response.result_int() == 200U, path << ": " << response.body());
    }

    /// Sends one request and returns the reason for which it was rejected, or "".
    std::string rejectionReason() const
    {
        return std::string(exchange(this->port, "POST", "/run", "{}", this->headers)["Lycheewall-Not-Run"]);
    }

    bool eventuallyEquals(const std::string &name, int value) const
    {
        return eventually([&] { return this->stat("n0", name) == value; });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(EndpointsTest, EndpointsFixture)

// Guards against an endpoint that serves another shard or a snapshot version that is not loaded, and that does not
// count API keys in requests.
BOOST_AUTO_TEST_CASE(respondsForLoadedVersionsOnly)
{
    const HttpResponse response = exchange(port, "POST", "/run", R"({"query":"x"})", headers);
    const json body = json::parse(response.body());
    BOOST_TEST(body["documents"] == 90);
    BOOST_TEST(body["result"][0]["echo"]["query"] == "x");
    BOOST_TEST(body["result"][0]["request"] == "r1");
    const std::string incarnation(response["Lycheewall-Incarnation"]);
    command("/pool/search/versions?list=1");
    BOOST_TEST(rejectionReason() == "version");
    BOOST_TEST(exchange(control, "POST", "/pool/search/versions?list=x").result_int() == 400U);
    headers["Lycheewall-Snapshot"] = "1";
    BOOST_TEST(rejectionReason() == "");
    headers["Lycheewall-Snapshot"] = "2";
    command("/pool/search/versions?list=1,2");
    BOOST_TEST(rejectionReason() == "");
    headers["Lycheewall-Shard"] = "south";
    BOOST_TEST(rejectionReason() == "version");
    command("/endpoint/n0/restart");
    BOOST_TEST(std::string(exchange(port, "POST", "/run", "", headers)["Lycheewall-Incarnation"]) != incarnation);
    BOOST_TEST(stat("n0", "key-headers") == 0);
    headers["Authorization"] = "Bearer x";
    headers["X-Other"] = "a secret b";
    rejectionReason();
    BOOST_TEST(stat("n0", "key-headers") == 2);
}

// Guards against an endpoint that exceeds its slots, queue or connection limit, or that accepts a request after its
// deadline.
BOOST_AUTO_TEST_CASE(enforcesSlotQueueAndConnectionLimits)
{
    command("/endpoint/n0/service?ms=60000");
    std::deque<Client> clients;
    for (int index = 0; index < 3; ++index) {
        clients.emplace_back(port);
        clients.back().send("POST", "/run", "{}", headers);
        BOOST_TEST(eventuallyEquals(index < 2 ? "running" : "queued", index < 2 ? index + 1 : 1));
    }
    BOOST_TEST(rejectionReason() == "shed");
    BOOST_TEST(eventuallyEquals("connections", 3));
    Client last(port);
    BOOST_TEST(eventuallyEquals("connections", 4));
    BOOST_TEST(exchange(port, "GET", "/health").result_int() == 0U);
    BOOST_TEST(stat("n0", "cap-violations") == 1);
    command("/zone/a/drain");
    last.send("POST", "/run", "{}", headers);
    BOOST_TEST(std::string(last.receive()["Lycheewall-Not-Run"]) == "draining");
    BOOST_TEST(stat("n0", "max-concurrent") == 2);
    clients.clear();
    BOOST_TEST(eventuallyEquals("running", 0));
    BOOST_TEST(stat("n0", "cancelled") + stat("n0", "finished") == stat("n0", "started"));
    command("/zone/a/drain?on=0");
    headers["Lycheewall-Deadline-Ms"] = "0";
    BOOST_TEST(rejectionReason() == "shed");
}

// Guards against a cold endpoint that serves more concurrent requests than it has cold slots.
BOOST_AUTO_TEST_CASE(overloadedColdEndpointRejectsRequests)
{
    command("/endpoint/n0/service?ms=60000");
    command("/endpoint/n0/cold?ms=60000");
    Client first(port);
    first.send("POST", "/run", "{}", headers);
    BOOST_TEST(eventuallyEquals("running", 1));
    BOOST_TEST(rejectionReason() == "cold");
    BOOST_TEST(rejectionReason() == "shed");
    BOOST_TEST(stat("n0", "cold-violations") == 1);
    BOOST_TEST(stat("n0", "max-concurrent") == 1);
}

// Guards against a cancelled run that keeps its slot, gets no response or is logged as finished, and against a response
// on a connection after the command "silence".
BOOST_AUTO_TEST_CASE(cancelAndSilenceStopResponses)
{
    command("/endpoint/n0/service?ms=60000");
    Client first(port);
    first.send("POST", "/run", "{}", headers);
    BOOST_TEST(eventuallyEquals("running", 1));
    BOOST_TEST(json::parse(exchange(port, "POST", "/cancel/7").body())["cancelled"] == true);
    BOOST_TEST(first.receive().result_int() == 409U);
    BOOST_TEST(log.read().find(R"("event":"cancelled","reason":"cancel")") != std::string::npos);
    BOOST_TEST(log.read().find("finished") == std::string::npos);
    command("/endpoint/n0/service?ms=1");
    first.send("GET", "/health");
    BOOST_TEST(first.receive().result_int() == 200U);
    command("/endpoint/n0/silence");
    first.send("GET", "/health");
    BOOST_TEST(rejectionReason() == "");
    BOOST_TEST(first.receive(std::chrono::milliseconds(1)).result_int() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
