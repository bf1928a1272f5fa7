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

// Guards against a reply that does not contain the greatest records of all shard responses in descending order.
BOOST_AUTO_TEST_CASE(mergesAllShardResponses)
{
    this->routeToShards(1);
    this->start();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(0).finish(CallResult::Answered, 200, low + high + "rest");
    this->call(1).finish(CallResult::Answered, 200, middle + middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].merged()->body == high + middle + middle));
    BOOST_TEST(this->replies[0].merged()->signatures.size() == 2U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 0U);
}

// Guards against a reply that waits for one shard beyond the objective although the required coverage is reached.
BOOST_AUTO_TEST_CASE(repliesWithoutMissingShardAtObjective)
{
    this->routeToShards(0.5);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(80));
    BOOST_TEST(this->replies.empty());
    this->clock.advance(Milliseconds(20));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 1U);
    BOOST_TEST(this->replies[0].merged()->signatures.size() == 1U);
}

// Guards against a partial reply at the objective that does not reach the required coverage.
BOOST_AUTO_TEST_CASE(waitsForRequiredCoverage)
{
    this->routeToShards(1);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(300));
    BOOST_TEST(this->replies.empty());
    this->call(1).finish(CallResult::Answered, 200, middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 0U);
}

// Guards against merging an error response because it has a signature.
BOOST_AUTO_TEST_CASE(errorResponseIsNotMerged)
{
    this->routeToShards(0.5);
    this->route.maxAttempts = 1;
    this->start();
    this->call(0).finish(CallResult::Answered, 500, low);
    this->call(1).finish(CallResult::Answered, 200, middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->signatures.size() == 1U);
    BOOST_TEST((this->replies[0].merged()->body == middle));
}

// Guards against waiting for the deadline after the required coverage has become unreachable, and against a wrong "not
// run" while another shard request is in flight.
BOOST_AUTO_TEST_CASE(refusesAtOnceWhenCoverageIsUnreachable)
{
    this->routeToShards(1);
    this->route.maxAttempts = 1;
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown));
    BOOST_TEST((this->replies[0].execution() != Execution::NotRun));
    BOOST_TEST(this->call(1).cancelled);
}

// Guards against a missing shard because of a straggler: a hedge is sent to a second endpoint early enough, within the
// retry budget.
BOOST_AUTO_TEST_CASE(hedgesStraggler)
{
    this->routeToShards(1);
    this->fillBudget();
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 3U);
    BOOST_TEST((this->call(2).call.endpoint->record.service == ServiceId("s2")));
    this->call(2).finish(CallResult::Answered, 200, middle);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->signatures.size() == 2U);
    BOOST_TEST(this->call(1).cancelled);
}

// Guards against a query that fails because the retry budget of one shard is exhausted for a moment, long before the
// latency objective.
BOOST_AUTO_TEST_CASE(shardRetryWaitsForBudget)
{
    this->routeToShards(1);
    this->route.latencyObjective = Milliseconds(1500);
    this->route.timeout = std::chrono::seconds(3);
    this->retryBudget.setLimits({ 0, 50, std::chrono::seconds(10) });
    // The retry budget of a new instance does not accrue before.
    this->clock.advance(std::chrono::seconds(3));
    this->start();
    this->call(0).finish(CallResult::Lost);
    this->call(1).finish(CallResult::Answered, 200, middle);
    BOOST_TEST(this->replies.empty());
    this->clock.advance(Milliseconds(800));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 3U);
    this->call(2).finish(CallResult::Answered, 200, low);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 0U);
}

// Guards against shard calls that continue, and against a reply, after the caller has disconnected.
BOOST_AUTO_TEST_CASE(cancelStopsAllShardCalls)
{
    this->routeToShards(1);
    this->start();
    this->exchange->cancel();
    BOOST_TEST(this->call(0).cancelled);
    BOOST_TEST(this->call(1).cancelled);
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(this->replies.empty());
}

// Guards against refusing a complete query because one shard has no endpoints.
BOOST_AUTO_TEST_CASE(shardWithoutEndpointsIsMissing)
{
    this->routeToShards(0.5);
    this->endpoints.remove(EndpointId("s2a"));
    this->endpoints.remove(EndpointId("s2b"));
    this->start();
    this->call(0).finish(CallResult::Answered, 200, low);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 1U);
}

// Guards against a "may have run" reply to a query that reached no endpoint, because calls of other shards still waited
// for a connection when one shard had failed.
BOOST_AUTO_TEST_CASE(refusalStatesNotRunIfNothingWasSent)
{
    this->routeToShards(1);
    this->route.maxAttempts = 1;
    this->start();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).sent = false;
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies.at(0).execution() == Execution::NotRun));
    BOOST_TEST(this->call(1).cancelled);
}

// Guards against a "not run" reply to a query that one endpoint may be running when another shard has failed.
BOOST_AUTO_TEST_CASE(refusalStatesMayHaveRunIfACallWasSent)
{
    this->routeToShards(1);
    this->route.maxAttempts = 1;
    this->start();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies.at(0).execution() != Execution::NotRun));
}

// Guards against queries that wait until their deadline for shards which have not responded for a while.
BOOST_AUTO_TEST_CASE(rejectsQueriesWhileShardsAreSilent)
{
    this->routeToShards(1);
    for (const char *id : { "s1a", "s2a" }) {
        this->endpoints.find(EndpointId(id))->stats.updateLoad({ 0, 0, 4, 1 }, this->clock.now());
    }
    for (int query = 0; query < 100; ++query) {
        this->start();
        this->clock.advance(this->route.timeout);
    }
    this->replies.clear();
    this->endpointSender.calls.clear();
    this->start();
    this->start();
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::EndpointShed));
    BOOST_TEST((this->replies[0].execution() == Execution::NotRun));
    // The other query finds out whether the shards respond again.
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
}

// Guards against shards that are taken for silent because callers wait for less time than queries usually take: the
// queries of all other callers would be rejected.
BOOST_AUTO_TEST_CASE(sendsQueriesAfterCallersWithShortDeadlines)
{
    this->routeToShards(1);
    for (const char *id : { "s1a", "s2a" }) {
        this->endpoints.find(EndpointId(id))->stats.updateLoad({ 0, 0, 4, 1 }, this->clock.now());
    }
    const Duration usualTimeout = this->route.timeout;
    this->route.timeout = this->route.latencyObjective / 2;
    for (int query = 0; query < 100; ++query) {
        this->start();
        this->clock.advance(this->route.timeout);
    }
    this->route.timeout = usualTimeout;
    this->replies.clear();
    this->start();
    this->start();
    BOOST_TEST(this->replies.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
