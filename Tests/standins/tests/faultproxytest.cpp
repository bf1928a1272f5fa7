#include "programs.h"

#include <boost/test/unit_test.hpp>

using namespace Standins;
using nlohmann::json;

namespace
{

/// The proxy forwards to the control port of a second proxy, an HTTP server that responds to GET /stats.
struct ProxyFixture
{
    Program server { "fault_proxy", { "--route", "0=127.0.0.1:1" } };
    std::uint16_t serverPort = this->server.ports("control").at(0);
    Program proxy { "fault_proxy", { "--listen=0", "--target=127.0.0.1:" + std::to_string(this->serverPort) } };
    std::uint16_t port = this->proxy.ports("port").at(0);
    std::uint16_t control = this->proxy.ports("control").at(0);

    void command(const std::string &text) const
    {
        BOOST_TEST(exchange(this->control, "POST", "/all/" + text).result_int() == 200U);
    }

    std::uint64_t stat(const std::string &name) const
    {
        return json::parse(exchange(this->control, "GET", "/stats").body())[std::to_string(this->port)][name];
    }

    unsigned requestStats(Client &client) const
    {
        client.send("GET", "/stats");
        return client.receive().result_int();
    }
};

/// How long to wait for a response that must not arrive. Long enough on loopback, because the tests first wait until
/// the bytes are dropped.
constexpr std::chrono::milliseconds noResponseTimeout { 20 };

}

BOOST_FIXTURE_TEST_SUITE(FaultProxyTest, ProxyFixture)

// Guards against the command "silence" closing a connection, letting data through or affecting new connections.
BOOST_AUTO_TEST_CASE(silenceAffectsExistingConnectionsOnly)
{
    Client existing(port);
    BOOST_TEST(requestStats(existing) == 200U);
    command("silence");
    existing.send("GET", "/stats");
    BOOST_TEST(eventually([&] { return stat("dropped-up") > 0; }));
    BOOST_TEST(existing.receive(noResponseTimeout).result_int() == 1U);
    BOOST_TEST(exchange(port, "GET", "/stats").result_int() == 200U);
    command("heal");
    existing.send("GET", "/stats");
    BOOST_TEST(existing.receive(noResponseTimeout).result_int() == 1U);
    command("cut");
    BOOST_TEST(existing.receive().result_int() == 0U);
}

// Guards against one-way loss that also drops data in the other direction.
BOOST_AUTO_TEST_CASE(onewayDropsDataInOneDirection)
{
    Client client(port);
    BOOST_TEST(requestStats(client) == 200U);
    const std::uint64_t passed = stat("passed-up");
    command("oneway?direction=down");
    client.send("GET", "/stats");
    BOOST_TEST(eventually([&] { return stat("dropped-down") > 0 && stat("passed-up") > passed; }));
    BOOST_TEST(client.receive(noResponseTimeout).result_int() == 1U);
    command("heal");
    BOOST_TEST(exchange(port, "GET", "/stats").result_int() == 200U);
}

// Guards against a blocked connection that is forwarded before the command "heal" or never, and against a delay that is
// not applied.
BOOST_AUTO_TEST_CASE(blockPostponesForwardingAndDelayIsApplied)
{
    command("block");
    Client client(port);
    client.send("GET", "/stats");
    BOOST_TEST(eventually([&] { return stat("unanswered") == 1; }));
    BOOST_TEST(client.receive(noResponseTimeout).result_int() == 1U);
    command("heal");
    BOOST_TEST(client.receive().result_int() == 200U);
    command("delay?ms=15");
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(requestStats(client) == 200U);
    BOOST_TEST((std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()
