#include "http/platformclient.h"

#include "core/boottimeclock.h"
#include "http/platformclienterror.h"
#include "testserver.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
namespace http = boost::beast::http;

namespace
{

/// A path of the platform that serves one version and may be broken in several ways.
struct Path
{
    Path()
        : server([this](const TestRequest &request) { return this->serve(request); })
    {
    }
    std::optional<TestResponse> serve(const TestRequest &request)
    {
        this->target = std::string(request.target());
        boost::this_fiber::sleep_for(Milliseconds(this->delayMs));
        if (this->broken) {
            return std::nullopt;
        }
        const std::string after = "after=" + std::to_string(this->version);
        if (this->target.find(after) != std::string::npos) {
            return TestResponse(http::status::not_modified, 11);
        }
        TestResponse response(http::status::ok, 11);
        response.body() = "{\"version\":" + std::to_string(this->version) + ",\"text\":\"a\\nb\"}";
        return response;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->server.port);
    }

    std::atomic<int> version { 5 };
    std::atomic<int> delayMs { 0 };
    std::atomic<bool> broken { false };
    std::string target;
    TestServer server;
};

struct Fixture
{
    Fixture()
        : worker(Worker::create())
        , client(*worker, clock, counters, { { one.address(), two.address() }, Milliseconds(200), Milliseconds(300) })
    {
    }

    BootTimeClock clock;
    Counters counters;
    Path one;
    Path two;
    std::unique_ptr<Worker> worker;
    PlatformClient client;
};

}

BOOST_FIXTURE_TEST_SUITE(PlatformClientTest, Fixture)

// Guards against a value or a query that departs from the protocol, and against a new connection for each call.
BOOST_AUTO_TEST_CASE(readAndWatchFollowTheProtocol)
{
    for (int round = 0; round < 4; ++round) {
        const auto value = this->client.read(ValueName::Instances);
        BOOST_REQUIRE(value.has_value());
        BOOST_TEST(value.value().version.value() == 5U);
        BOOST_TEST(value.value().text == "a\nb");
    }
    BOOST_TEST(this->one.target == "/v1/values/instances");
    const auto same = this->client.watch(ValueName::Instances, ValueVersion(5), Milliseconds(50));
    BOOST_TEST(same.value().version.value() == 5U);
    BOOST_TEST(same.value().text.empty());
    const auto newer = this->client.watch(ValueName::Catalogue, ValueVersion(4), Milliseconds(50));
    BOOST_TEST(newer.value().version.value() == 5U);
    const std::string query = "/v1/values/catalogue?after=4&wait-ms=50";
    BOOST_TEST((this->one.target == query || this->two.target == query));
    BOOST_TEST(this->one.server.accepted + this->two.server.accepted <= 2);
}

// Guards against staying on a path that fails, is silent or refuses connections, and against never coming back.
BOOST_AUTO_TEST_CASE(failingPathsAreLeftForOthers)
{
    this->one.broken = true;
    BOOST_TEST(this->client.read(ValueName::Catalogue).has_value());
    BOOST_TEST(this->client.paths()[0].failures == 1U);
    BOOST_TEST(this->client.read(ValueName::Catalogue).has_value());
    BOOST_TEST(this->client.paths()[0].failures == 1U);
    this->one.broken = false;
    this->two.delayMs = 2000;
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(this->client.read(ValueName::Catalogue).has_value());
    BOOST_TEST((std::chrono::steady_clock::now() - start < Milliseconds(800)));
    BOOST_TEST(this->counters.value("lycheewall_platform_failures_total{reason=\"timeout\"}") == 1U);
    this->one.server.stop();
    this->two.server.stop();
    BOOST_TEST(this->client.read(ValueName::Catalogue).error() == make_error_code(PlatformClientError::ConnectFailed));
}

// Guards against a configuration that reverts because one path lags, and against reports of it as fresh.
BOOST_AUTO_TEST_CASE(pathsThatGoBackwardsAreAvoided)
{
    this->one.version = 9;
    for (int round = 0; round < 6; ++round) {
        BOOST_TEST(this->client.read(ValueName::Catalogue).value().version.value() == 9U);
    }
    BOOST_TEST(this->client.paths()[0].answers == 6U);
    BOOST_TEST(this->client.paths()[1].backwards == 1U);
    this->one.server.stop();
    BOOST_TEST(this->client.read(ValueName::Catalogue).error() == make_error_code(PlatformClientError::WentBackwards));
    this->two.version = 10;
    BOOST_TEST(this->client.read(ValueName::Catalogue).value().version.value() == 10U);
}

// Guards against a silent path that costs its bound again after each time of avoidance.
BOOST_AUTO_TEST_CASE(silentPathIsNotTriedWhileOthersAnswer)
{
    this->one.delayMs = 2000;
    for (int round = 0; round < 5; ++round) {
        BOOST_TEST(this->client.read(ValueName::Catalogue).has_value());
        std::this_thread::sleep_for(Milliseconds(320));
    }
    BOOST_TEST(this->client.paths()[0].failures == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
