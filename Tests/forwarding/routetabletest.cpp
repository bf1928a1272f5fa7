#include "forwarding/routetable.h"
#include "forwarding/latencymodel.h"
#include "forwarding/topmerge.h"
#include "forwarding/weightedroundrobin.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(RouteTableTest)

namespace
{

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "host";
    route.prefix = prefix;
    route.services = { { ServiceId("s"), 1 } };
    return route;
}

RouteTableContent makeContent(std::vector<Route> routes)
{
    RouteTableContent content;
    content.version = 3;
    content.routes = std::move(routes);
    content.services.push_back({ ServiceId("s"), 10, 0, {} });
    return content;
}

}

// Guards against requests that are routed by a shorter prefix or by another host.
BOOST_AUTO_TEST_CASE(longestPrefixWins)
{
    const auto table
        = RouteTable::create(makeContent({ makeRoute("short", "/a/"), makeRoute("long", "/a/b/") })).value();
    BOOST_TEST(table->match("host", "/a/b/c")->name == "long");
    BOOST_TEST(table->match("host", "/a/bc")->name == "short");
    BOOST_TEST(table->match("host", "/a/?/a/b/")->name == "short");
    BOOST_TEST(table->match("host", "/b/") == nullptr);
    BOOST_TEST(table->match("other", "/a/") == nullptr);
}

// Guards against invalid route tables that are accepted.
BOOST_AUTO_TEST_CASE(rejectsInvalidTables)
{
    BOOST_TEST((RouteTable::create(makeContent({ makeRoute("r", "a/") })).error() == RouteTableError::BadPrefix));
    Route unknown = makeRoute("r", "/");
    unknown.services = { { ServiceId("other"), 1 } };
    BOOST_TEST((RouteTable::create(makeContent({ unknown })).error() == RouteTableError::UnknownService));
    unknown.services.clear();
    BOOST_TEST((RouteTable::create(makeContent({ unknown })).error() == RouteTableError::RouteWithoutService));
    auto twice = makeContent({});
    twice.services.push_back({ ServiceId("s"), 10, 0, {} });
    BOOST_TEST((RouteTable::create(twice).error() == RouteTableError::DuplicateService));
}

// Guards against a distribution that deviates from the weights over a short run of requests.
BOOST_AUTO_TEST_CASE(roundRobinFollowsWeightsAtEveryStep)
{
    Route route = makeRoute("r", "/");
    route.services = { { ServiceId("one"), 1 }, { ServiceId("three"), 3 } };
    WeightedRoundRobin serviceBalancer;
    int three = 0;
    for (int sent = 1; sent <= 40; ++sent) {
        three += serviceBalancer.nextService(route) == ServiceId("three") ? 1 : 0;
        BOOST_TEST(std::abs(three - 0.75 * sent) <= 1);
    }
    route.services = { { ServiceId("one"), 1 } };
    BOOST_TEST((serviceBalancer.nextService(route) == ServiceId("one")));
}

// Guards against hedge delays that follow a few outliers.
BOOST_AUTO_TEST_CASE(quantilesFollowSamples)
{
    LatencyModel model;
    BOOST_TEST((model.quantile("r", 0.5, Milliseconds(7)) == Milliseconds(7)));
    for (int sample = 0; sample < 95; ++sample) {
        model.record("r", Milliseconds(10));
    }
    for (int sample = 0; sample < 5; ++sample) {
        model.record("r", Milliseconds(100));
    }
    BOOST_TEST((model.quantile("r", 0.5, {}) >= Milliseconds(10)));
    BOOST_TEST((model.quantile("r", 0.5, {}) <= Milliseconds(12)));
    BOOST_TEST((model.quantile("r", 0.99, {}) >= Milliseconds(100)));
}

// Guards against records that are compared as signed bytes, truncated records in the result, and equal records that are
// merged into one.
BOOST_AUTO_TEST_CASE(mergeKeepsGreatestRecords)
{
    const std::string low(recordBytes, '\x01');
    const std::string high(recordBytes, '\xfe');
    const std::string first = low + high + "short";
    const std::string second = high;
    BOOST_TEST((mergeTopRecords({ first, second }, 2) == high + high));
    BOOST_TEST((mergeTopRecords({ first, second }, 9) == high + high + low));
    BOOST_TEST(mergeTopRecords({}, 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
