#include "programs.h"

#include <boost/test/unit_test.hpp>

using namespace Standins;
using nlohmann::json;

namespace
{

/// The proxy stands in front of a second proxy's control port, which is an HTTP server that answers GET /stats.
struct ProxyFixture
{
    Program server { "fault_proxy", { "--route", "0=127.0.0.1:1" } };
    std::uint16_t behind = this->server.ports("control").at(0);
    Program proxy { "fault_proxy", { "--listen=0", "--target=127.0.0.1:" + std::to_string(this->behind) } };
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

    unsigned ask(Client &client) const
    {
        client.send("GET", "/stats");
        return client.receive().result_int();
    }
};

/// Long enough to see an answer on loopback that should not come; the dropped bytes are awaited first.
constexpr std::chrono::milliseconds brief { 20 };

}

BOOST_FIXTURE_TEST_SUITE(FaultProxyTest, ProxyFixture)

// Guards against a silent connection that closes or passes bytes, and a silence that reaches new connections.
BOOST_AUTO_TEST_CASE(silenceHoldsOldConnectionsOnly)
{
    Client old(port);
    BOOST_TEST(ask(old) == 200U);
    command("silence");
    old.send("GET", "/stats");
    BOOST_TEST(eventually([&] { return stat("dropped-up") > 0; }));
    BOOST_TEST(old.receive(brief).result_int() == 1U);
    BOOST_TEST(exchange(port, "GET", "/stats").result_int() == 200U);
    command("heal");
    old.send("GET", "/stats");
    BOOST_TEST(old.receive(brief).result_int() == 1U);
    command("cut");
    BOOST_TEST(old.receive().result_int() == 0U);
}

// Guards against a one-way loss that drops the other direction too.
BOOST_AUTO_TEST_CASE(onewayDropsOneDirection)
{
    Client client(port);
    BOOST_TEST(ask(client) == 200U);
    const std::uint64_t passed = stat("passed-up");
    command("oneway?direction=down");
    client.send("GET", "/stats");
    BOOST_TEST(eventually([&] { return stat("dropped-down") > 0 && stat("passed-up") > passed; }));
    BOOST_TEST(client.receive(brief).result_int() == 1U);
    command("heal");
    BOOST_TEST(exchange(port, "GET", "/stats").result_int() == 200U);
}

// Guards against a blocked connection that is answered early or never after healing, and a delay that is not applied.
BOOST_AUTO_TEST_CASE(blockAndDelay)
{
    command("block");
    Client client(port);
    client.send("GET", "/stats");
    BOOST_TEST(eventually([&] { return stat("unanswered") == 1; }));
    BOOST_TEST(client.receive(brief).result_int() == 1U);
    command("heal");
    BOOST_TEST(client.receive().result_int() == 200U);
    command("delay?ms=15");
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(ask(client) == 200U);
    BOOST_TEST((std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()
