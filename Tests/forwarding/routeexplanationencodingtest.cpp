#include "forwarding/routeexplainerfixture.h"
#include "forwarding/routeexplanationjson.h"
#include "forwarding/routeexplanationtext.h"

#include <nlohmann/json.hpp>

namespace Lycheewall
{

BOOST_FIXTURE_TEST_SUITE(RouteExplanationEncodingTest, ExplainerFixture)

// Guards against the loss of an item in one of the formats, and against the disclosure of a key.
BOOST_AUTO_TEST_CASE(encodesAsJsonAndText)
{
    this->routeToService();
    this->endpoint("s1b").leaving = true;
    this->endpoint("s1a").stats.updateLoad({ 2, 0, 4, std::nullopt }, this->clock.now());
    this->connections.busyEndpoint = EndpointId("s1a");
    this->publishTable();
    this->clock.advance(Milliseconds(50));
    this->query.target = "/x\xff";
    const RouteExplanation explanation = this->explain();
    const std::string encoded = encodeAsJson(explanation);
    const auto json = nlohmann::json::parse(encoded);
    BOOST_TEST(json["route"]["name"] == "route");
    BOOST_TEST(json["feed-age-ms"] == 50);
    BOOST_TEST(json["admission"]["accepted"] == true);
    BOOST_TEST(json["quota"]["burst"] == 100);
    const auto &service = json["services"][0];
    BOOST_TEST(service["chosen"] == "s1a");
    BOOST_TEST(service["connection-limit"] == 10);
    BOOST_TEST(service["endpoints"][0]["report-age-ms"] == 50);
    BOOST_TEST(service["endpoints"][0]["waiting-for-connection"] == 3);
    BOOST_TEST(service["endpoints"][1]["verdict"] == "leaving");
    const std::string text = encodeAsText(explanation);
    for (const char *expected : { "route     route, prefix /",
                                  "quota     35.0 requests left of a burst of 100.0",
                                  "admission accepted",
                                  "service   s1: to s1a",
                                  "report 50.0 ms old",
                                  "connections 10 of 10, 0 idle, all busy, 3 requests wait for one",
                                  "s1b                  leaving" }) {
        BOOST_TEST(text.find(expected) != std::string::npos, "\"" << expected << "\" is missing in " << text);
    }
    BOOST_TEST((encoded + text).find("secret") == std::string::npos);
}

// Guards against an encoder that expects a route.
BOOST_AUTO_TEST_CASE(encodesWithoutRoute)
{
    const RouteExplanation explanation = this->explain();
    BOOST_TEST(nlohmann::json::parse(encodeAsJson(explanation))["route"].is_null());
    const std::string text = encodeAsText(explanation);
    BOOST_TEST(text.find("rejected: not-ready, retry after 200.0 ms") != std::string::npos, text);
}

BOOST_AUTO_TEST_SUITE_END()

}
