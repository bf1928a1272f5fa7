#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_FIXTURE_TEST_SUITE(FanoutExchangeTest, ForwardingFixture)

namespace
{

const std::string low = "aaaaaaaaaaaaaaaa";
const std::string middle = "mmmmmmmmmmmmmmmm";
const std::string high = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff";

}

// Guards against an answer that does not hold the greatest records of all parts in falling order.
BOOST_AUTO_TEST_CASE(mergesAllParts)
{
    this->routeToShards(1);
    this->start();
    BOOST_REQUIRE(this->caller.calls.size() == 2U);
    this->call(0).finish(CallResult::Answered, 200, low + high + "rest");
    this->call(1).finish(CallResult::Answered, 200, middle + middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].merged->body == high + middle + middle));
    BOOST_TEST(this->replies[0].merged->signatures.size() == 2U);
    BOOST_TEST(this->replies[0].merged->missingShards == 0U);
}

// Guards against an answer that is late for one shard although its coverage is enough.
BOOST_AUTO_TEST_CASE(leavesOutMissingPartAtObjective)
{
    this->routeToShards(0.5);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(80));
    BOOST_TEST(this->replies.empty());
    this->clock.advance(Milliseconds(20));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->missingShards == 1U);
    BOOST_TEST(this->replies[0].merged->signatures.size() == 1U);
}

// Guards against parts that are left out below the least coverage.
BOOST_AUTO_TEST_CASE(waitsForLeastCoverage)
{
    this->routeToShards(1);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(300));
    BOOST_TEST(this->replies.empty());
    this->call(1).finish(CallResult::Answered, 200, middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->missingShards == 0U);
}

// Guards against a failure that counts as a part because it bears a stamp.
BOOST_AUTO_TEST_CASE(failureIsNoPart)
{
    this->routeToShards(0.5);
    this->route.maxAttempts = 1;
    this->start();
    this->call(0).finish(CallResult::Answered, 500, low);
    this->call(1).finish(CallResult::Answered, 200, middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->signatures.size() == 1U);
    BOOST_TEST((this->replies[0].merged->body == middle));
}

// Guards against waiting for the deadline when the coverage cannot be reached any more, and against a false "not run"
// while another part is under way.
BOOST_AUTO_TEST_CASE(givesUpAtOnceWithoutCoverage)
{
    this->routeToShards(1);
    this->route.maxAttempts = 1;
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal == Refusal::OutcomeUnknown));
    BOOST_TEST(!this->replies[0].notRun);
    BOOST_TEST(this->call(1).released);
}

// Guards against a straggler that costs its part: a second endpoint is asked in time, within the budget.
BOOST_AUTO_TEST_CASE(hedgesStraggler)
{
    this->routeToShards(1);
    this->earnBudget();
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->caller.calls.size() == 3U);
    BOOST_TEST((this->call(2).call.endpoint->record.service == ServiceId("s2")));
    this->call(2).finish(CallResult::Answered, 200, middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->signatures.size() == 2U);
    BOOST_TEST(this->call(1).released);
}

// Guards against an answer after the caller has left.
BOOST_AUTO_TEST_CASE(abandonReleasesAllParts)
{
    this->routeToShards(1);
    this->start();
    this->exchange->cancel();
    BOOST_TEST(this->call(0).released);
    BOOST_TEST(this->call(1).released);
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(this->replies.empty());
}

// Guards against a whole query that is refused because one shard has no endpoints.
BOOST_AUTO_TEST_CASE(shardWithoutEndpointsIsMissing)
{
    this->routeToShards(0.5);
    this->endpoints.remove(EndpointId("s2a"));
    this->endpoints.remove(EndpointId("s2b"));
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->missingShards == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
