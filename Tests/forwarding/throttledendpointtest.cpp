#include "forwarding/fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>

namespace Lycheewall
{

namespace
{

/// The forms in which an endpoint asks for fewer requests; each makes it take none for the duration of a test.
const std::map<std::string, std::function<void(ServiceEndpoint &, TimePoint)>> forms {
    { "leaving",
      [](ServiceEndpoint &endpoint, TimePoint) {
          endpoint.leaving = true;
      } },
    { "backoff",
      [](ServiceEndpoint &endpoint, TimePoint now) {
          endpoint.backoff.start(std::chrono::seconds(60), now);
      } },
    { "rate limit",
      [](ServiceEndpoint &endpoint, TimePoint now) {
          RateLimitStatement statement;
          statement.requestsPerSecond = 0;
          endpoint.rateLimit.apply(statement, now, now);
      } },
};

struct ThrottledFixture : public ForwardingFixture
{
    ~ThrottledFixture()
    {
        this->finishAllRequests();
    }

    void throttle(const std::string &form, const std::string &endpoint)
    {
        forms.at(form)(*this->endpoints.find(EndpointId(endpoint)), this->clock.now());
    }

    int callsTo(const std::string &endpoint) const
    {
        return static_cast<int>(
            std::count_if(this->endpointSender.calls.begin(), this->endpointSender.calls.end(), [&](const auto &call) {
                return call->call.endpoint->record.id.value() == endpoint;
            }));
    }
};

/// Runs @p check once for each form, each time with new components.
void forEachForm(const std::function<void(ThrottledFixture &, const std::string &form)> &check)
{
    for (const auto &[form, apply] : forms) {
        BOOST_TEST_CONTEXT(form)
        {
            ThrottledFixture fixture;
            check(fixture, form);
        }
    }
}

}

// Each path that sends obeys each form. Requests that wait for a connection: EndpointConnectionPoolTest; relayed
// shards: RelayTest.
BOOST_AUTO_TEST_SUITE(ThrottledEndpointTest)

// Guards against first attempts at an endpoint that wants none.
BOOST_AUTO_TEST_CASE(firstAttemptAvoidsEndpoint)
{
    forEachForm([](ThrottledFixture &fixture, const std::string &form) {
        fixture.routeToService();
        fixture.throttle(form, "s1a");
        for (int count = 0; count < 10; ++count) {
            fixture.start();
        }
        BOOST_TEST(fixture.callsTo("s1a") == 0);
        BOOST_TEST(fixture.callsTo("s1b") == 10);
    });
}

// Guards against retries at an endpoint that wants none.
BOOST_AUTO_TEST_CASE(retryAvoidsEndpoint)
{
    forEachForm([](ThrottledFixture &fixture, const std::string &form) {
        fixture.routeToService();
        fixture.fillBudget();
        fixture.throttle(form, "s1a");
        fixture.start();
        fixture.call(0).finish(CallResult::NotRun);
        BOOST_TEST(fixture.callsTo("s1a") == 0);
        BOOST_TEST(fixture.replies.size() == 1U);
    });
}

// Guards against hedges at an endpoint that wants none.
BOOST_AUTO_TEST_CASE(hedgeAvoidsEndpoint)
{
    forEachForm([](ThrottledFixture &fixture, const std::string &form) {
        fixture.routeToService();
        fixture.fillBudget();
        fixture.throttle(form, "s1a");
        fixture.start();
        fixture.clock.advance(Milliseconds(900));
        BOOST_TEST(fixture.callsTo("s1a") == 0);
    });
}

// Guards against shard requests to an endpoint that wants none.
BOOST_AUTO_TEST_CASE(shardRequestAvoidsEndpoint)
{
    forEachForm([](ThrottledFixture &fixture, const std::string &form) {
        fixture.routeToShards(1);
        fixture.fillBudget();
        fixture.throttle(form, "s2b");
        fixture.start();
        fixture.clock.advance(Milliseconds(900));
        BOOST_TEST(fixture.callsTo("s2a") == 1);
        BOOST_TEST(fixture.callsTo("s2b") == 0);
    });
}

// Guards against a request that waits although no endpoint takes it, and against a refusal that does not state that it
// has not run.
BOOST_AUTO_TEST_CASE(refusesWhenNoEndpointTakesRequest)
{
    forEachForm([](ThrottledFixture &fixture, const std::string &form) {
        fixture.routeToService();
        fixture.throttle(form, "s1a");
        fixture.throttle(form, "s1b");
        fixture.start();
        BOOST_TEST(fixture.endpointSender.calls.empty());
        BOOST_REQUIRE(fixture.replies.size() == 1U);
        BOOST_TEST((fixture.replies[0].execution() == Execution::NotRun));
        BOOST_TEST(fixture.replies[0].retryAfter().has_value());
        const Refusal expected = form == "leaving" ? Refusal::EndpointUnavailable : Refusal::EndpointThrottled;
        BOOST_TEST((fixture.replies[0].refusal() == expected));
    });
}

// Guards against a caller that is told to return at once although all endpoints have turned its request away for a
// time.
BOOST_AUTO_TEST_CASE(refusalAfterTurnedAwayRequestNamesTheTime)
{
    ThrottledFixture fixture;
    fixture.routeToService();
    fixture.fillBudget();
    fixture.start();
    for (const char *endpoint : { "s1a", "s1b" }) {
        fixture.throttle("backoff", endpoint);
    }
    fixture.call(0).finish(CallResult::NotRun);
    BOOST_REQUIRE(fixture.replies.size() == 1U);
    BOOST_TEST((fixture.replies[0].execution() == Execution::NotRun));
    BOOST_TEST((fixture.replies[0].refusal() == Refusal::EndpointThrottled));
    BOOST_TEST((fixture.replies[0].retryAfter().value() >= std::chrono::seconds(60)));
}

// Guards against a refusal although the route allows a reply without the shard.
BOOST_AUTO_TEST_CASE(givesPartialReplyWhereAllowed)
{
    forEachForm([](ThrottledFixture &fixture, const std::string &form) {
        fixture.routeToShards(0.5);
        fixture.throttle(form, "s2a");
        fixture.throttle(form, "s2b");
        fixture.start();
        BOOST_REQUIRE(fixture.endpointSender.calls.size() == 1U);
        fixture.call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
        BOOST_REQUIRE(fixture.replies.size() == 1U);
        BOOST_TEST(fixture.replies[0].merged()->missingShards == 1U);
    });
}

// Guards against logs and counters that name a full queue where an endpoint has asked for fewer requests.
BOOST_AUTO_TEST_CASE(countsShardLeftOutAsThrottled)
{
    ThrottledFixture fixture;
    fixture.routeToShards(0.5);
    fixture.throttle("backoff", "s2a");
    fixture.throttle("backoff", "s2b");
    fixture.start();
    const auto count = [&fixture](Refusal reason) {
        return fixture.counters.counter("lycheewall_forwarding_parts_not_asked_total", refusalCode(reason)).value();
    };
    BOOST_TEST(count(Refusal::EndpointThrottled) == 1U);
    BOOST_TEST(count(Refusal::QueueFull) == 0U);
}

// Guards against an endpoint that counts as failed because requests that waited for a connection to it were withdrawn.
BOOST_AUTO_TEST_CASE(withdrawnRequestsAreNoFailures)
{
    ThrottledFixture fixture;
    fixture.routeToService();
    fixture.fillBudget();
    for (int count = 0; count < 2; ++count) {
        fixture.start();
        const EndpointPtr first = fixture.endpointSender.calls.back()->call.endpoint;
        first->backoff.start(std::chrono::seconds(1), fixture.clock.now());
        fixture.endpointSender.calls.back()->finish(CallResult::NotSent);
        BOOST_TEST(first->stats.failureRatio(fixture.clock.now()) == 0);
        fixture.clock.advance(std::chrono::seconds(2));
    }
}

// Guards against an endpoint that stays excluded after its process was replaced, or that is used again because the feed
// repeats an entry of the process that leaves.
BOOST_AUTO_TEST_CASE(leavingEndsWithTheProcess)
{
    ThrottledFixture fixture;
    fixture.throttle("leaving", "s1a");
    EndpointRecord record = fixture.endpoints.find(EndpointId("s1a"))->record;
    fixture.endpoints.addOrUpdate(record, fixture.clock.now());
    BOOST_TEST(!fixture.endpoints.find(EndpointId("s1a"))->isAvailable());
    record.processStartMs = 2;
    fixture.endpoints.addOrUpdate(record, fixture.clock.now());
    BOOST_TEST(fixture.endpoints.find(EndpointId("s1a"))->isAvailable());
}

BOOST_AUTO_TEST_SUITE_END()

}
