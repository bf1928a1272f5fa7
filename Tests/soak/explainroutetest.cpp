#include "singleinstance.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int gracePeriodS = 6;
constexpr auto commandTimeout = 20s;

std::string entry(const std::string &state, const std::string &zone)
{
    nlohmann::json result = nlohmann::json::parse(endpointEntry("records", 1));
    result["State"] = state;
    result["Zone"] = zone;
    return result.dump();
}

struct Fixture
{
    Fixture()
    {
        nlohmann::json route = publicRoute("record", "non_idempotent", "records", 5s);
        route["Public"] = false;
        const nlohmann::json configuration {
            { "Version", 7 },
            { "Routes", nlohmann::json::array({ route }) },
            { "Services", nlohmann::json::array({ { { "Name", "records" }, { "MaxConnections", 40 } } }) },
            { "Tenants",
              nlohmann::json::array({ { { "Name", "org" },
                                        { "ApiKeys", nlohmann::json::array({ "secret-key" }) },
                                        { "RatePerS", 10 },
                                        { "Burst", 20 } } }) },
        };
        BOOST_REQUIRE(this->instance.start(
            configuration,
            { { "one", entry("ready", "z") }, { "two", entry("draining", "z") }, { "three", entry("ready", "y") } }));
    }
    ~Fixture()
    {
        std::filesystem::remove(this->output);
    }

    std::string metricsAddress() const
    {
        const auto address = this->instance.address(Listener::Metrics);
        return address.address().to_string() + ':' + std::to_string(address.port());
    }

    /// Runs the command and returns its exit code.
    int explain(const std::vector<std::string> &flags)
    {
        std::vector<std::string> arguments { "explain-route" };
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        std::filesystem::remove(this->output);
        Integration::Process command(LYCHEEWALLCTL, arguments, this->output);
        const int exitCode = command.wait(commandTimeout);
        BOOST_TEST_MESSAGE(Integration::readFile(this->output));
        return exitCode;
    }

    bool hasPrinted(const std::string &text) const
    {
        return Integration::readFile(this->output).find(text) != std::string::npos;
    }

    SingleInstance instance { 4, gracePeriodS };
    std::string output = "/tmp/lycheewall-explain-route-" + std::to_string(::getpid());
};

}

BOOST_AUTO_TEST_SUITE(ExplainRouteTest)

// Guards against a command and an instance that do not understand each other, and against an exit code that does not
// tell whether there is an explanation.
BOOST_FIXTURE_TEST_CASE(commandExplainsRouteOfRunningInstance, Fixture)
{
    const std::string address = "--addresses=" + this->metricsAddress();
    const std::string host = "--host=Instance.Example:80";
    const std::string path = "--path=/record/x?y=z";
    BOOST_TEST(this->explain({ address, host, path, "--organisation=org" }) == 0);
    for (const char *expected : { "admission accepted",
                                  "service   records: to one",
                                  "two                  draining",
                                  "three                other-zone" }) {
        BOOST_TEST(this->hasPrinted(expected));
    }
    BOOST_TEST(this->explain({ address, host, path, "--organisation=org", "--json" }) == 0);
    const auto json = nlohmann::json::parse(Integration::readFile(this->output));
    BOOST_TEST(json["services"][0]["chosen"] == "one");
    BOOST_TEST(json["request"]["path"] == "/record/x?y=z");
    BOOST_TEST(this->explain({ address, host, path, "--organisation=nobody" }) == 1);
    BOOST_TEST(this->hasPrinted("rejected: key-unknown"));
    BOOST_TEST(this->explain({ address, host, "--path=/other" }) == 1);
    BOOST_TEST(this->hasPrinted("rejected: unknown-route"));
    BOOST_TEST(this->explain({ address, host, "--path=other" }) == 2);
    BOOST_TEST(this->hasPrinted("parameter \"path\" does not begin with a slash"));
    BOOST_TEST(this->explain({ address, host }) == 2);
    BOOST_TEST(this->explain({ "--addresses=127.0.0.1:1", host, path }) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}
