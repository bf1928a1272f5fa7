#include "programs.h"

#include <boost/test/unit_test.hpp>

using namespace Standins;
using nlohmann::json;

namespace
{

struct PlatformFixture
{
    TemporaryFile catalogue { "first catalogue" };
    TemporaryFile instances { "first list" };
    Program program {
        "standin_platform",
        { "--port", "0", "--port=0", "--catalogue", this->catalogue.path, "--instances", this->instances.path }
    };
    std::uint16_t port = this->program.ports("port").at(0);
    std::uint16_t secondPort = this->program.ports("port").at(1);
    std::uint16_t control = this->program.ports("control").at(0);

    json command(const std::string &path, const std::string &body = "") const
    {
        return json::parse(exchange(this->control, "POST", path, body).body());
    }

    bool eventuallyHasOpenWatch() const
    {
        return eventually(
            [this] { return json::parse(exchange(this->control, "GET", "/calls").body())["waiting"] == 1; });
    }
};

const std::string valuePath = "/v1/values/catalogue";

}

BOOST_FIXTURE_TEST_SUITE(PlatformTest, PlatformFixture)

// Guards against a watch that misses a publication or is counted as more than one call.
BOOST_AUTO_TEST_CASE(watchReturnsOnPublicationAndCountsAsOneCall)
{
    BOOST_TEST(exchange(port, "GET", valuePath).body()
               == json({ { "version", 1 }, { "text", "first catalogue" } }).dump());
    BOOST_TEST(exchange(port, "GET", valuePath + "?after=1").result_int() == 304U);
    BOOST_TEST(exchange(port, "GET", valuePath + "?after=1&wait-ms=20").result_int() == 304U);
    Client watch(port);
    watch.send("GET", valuePath + "?after=1&wait-ms=60000");
    BOOST_TEST(eventuallyHasOpenWatch());
    BOOST_TEST(command("/publish/catalogue", "second")["version"] == 2);
    BOOST_TEST(json::parse(watch.receive().body())["text"] == "second");
    BOOST_TEST(json::parse(exchange(control, "GET", "/calls").body())["total"] == 4);
    BOOST_TEST(exchange(port, "POST", valuePath, "third").result_int() == 405U);
    BOOST_TEST(json::parse(exchange(port, "GET", valuePath).body())["version"] == 2);
}

// Guards against a mode of one port that affects another, and against a watch that returns a new version on a stale
// port.
BOOST_AUTO_TEST_CASE(modesApplyPerPort)
{
    command("/mode/stale?port=" + std::to_string(port));
    Client watch(port);
    watch.send("GET", valuePath + "?after=1&wait-ms=60000");
    BOOST_TEST(eventuallyHasOpenWatch());
    command("/publish/catalogue", "second");
    BOOST_TEST(json::parse(exchange(port, "GET", valuePath).body())["version"] == 1);
    BOOST_TEST(json::parse(exchange(secondPort, "GET", valuePath).body())["version"] == 2);
    BOOST_TEST(eventuallyHasOpenWatch());
    command("/mode/ok?port=" + std::to_string(port));
    BOOST_TEST(json::parse(watch.receive().body())["version"] == 2);
    command("/mode/down?port=" + std::to_string(secondPort));
    BOOST_TEST(exchange(secondPort, "GET", valuePath).result_int() == 0U);
    BOOST_TEST(exchange(port, "GET", valuePath).result_int() == 200U);
    command("/mode/slow?ms=30");
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(exchange(secondPort, "GET", valuePath).result_int() == 200U);
    BOOST_TEST((std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()
