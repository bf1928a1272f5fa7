#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_FIXTURE_TEST_SUITE(SingleExchangeTest, ForwardingFixture)

// Guards against an answer that is changed on its way.
BOOST_AUTO_TEST_CASE(returnsTheAnswer)
{
    this->routeToService();
    this->start();
    this->call(0).finish(CallResult::Answered, 200, "body");
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].response->body == "body");
    BOOST_TEST(!this->replies[0].response->signature.empty());
}

// Guards against a request that must not be repeated and runs at two endpoints.
BOOST_AUTO_TEST_CASE(runsOnceIsNotSentAgainAfterLoss)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    this->earnBudget();
    this->start();
    this->call(0).finish(CallResult::Lost);
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(this->caller.calls.size() == 1U);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal == Refusal::OutcomeUnknown));
    BOOST_TEST(!this->replies[0].notRun);
}

// Guards against a hedge of a request that must not be repeated.
BOOST_AUTO_TEST_CASE(runsOnceIsNotHedged)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    this->earnBudget();
    this->start();
    this->clock.advance(Milliseconds(900));
    BOOST_TEST(this->caller.calls.size() == 1U);
    this->clock.advance(Milliseconds(200));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal == Refusal::DeadlineExceeded));
    BOOST_TEST(!this->replies[0].notRun);
}

// Guards against lost work: an endpoint that did not run the request lets another one try.
BOOST_AUTO_TEST_CASE(runsOnceIsSentAgainWhenNotRun)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    this->earnBudget();
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->caller.calls.size() == 2U);
    BOOST_TEST((this->call(0).call.endpoint->record.id != this->call(1).call.endpoint->record.id));
    this->call(1).finish(CallResult::Answered);
    BOOST_TEST(this->replies.at(0).response.has_value());
}

// Guards against a false "not run": it is stated only when no endpoint can have run the request.
BOOST_AUTO_TEST_CASE(statesNotRunOnlyWhenCertain)
{
    this->routeToService();
    this->earnBudget();
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    this->call(1).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].notRun);
    BOOST_TEST(this->replies[0].retryAfter.has_value());

    this->start();
    this->call(2).finish(CallResult::Lost);
    this->call(3).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 2U);
    BOOST_TEST(!this->replies[1].notRun);
}

// Guards against more endpoints than the route allows.
BOOST_AUTO_TEST_CASE(keepsToMaxAttempts)
{
    this->routeToService();
    this->route.maxAttempts = 1;
    this->earnBudget();
    this->start();
    this->call(0).finish(CallResult::Lost);
    BOOST_TEST(this->caller.calls.size() == 1U);
    BOOST_TEST(this->replies.size() == 1U);
}

// Guards against second sends beyond the fleet's budget.
BOOST_AUTO_TEST_CASE(doesNotRetryWithoutBudget)
{
    this->routeToService();
    this->start();
    this->call(0).finish(CallResult::Lost);
    BOOST_TEST(this->caller.calls.size() == 1U);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal == Refusal::OutcomeUnknown));
}

// Guards against a budget that is used up by connections that fail before anything was sent.
BOOST_AUTO_TEST_CASE(failedConnectionCostsNoBudget)
{
    this->routeToService();
    this->start();
    this->call(0).finish(CallResult::NotSent);
    BOOST_REQUIRE(this->caller.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered);
    BOOST_TEST(this->replies.at(0).response.has_value());
}

// Guards against endpoints that work on after their caller has left.
BOOST_AUTO_TEST_CASE(releasesEndpointWhenCallerLeaves)
{
    this->routeToService();
    this->start();
    this->exchange->cancel();
    BOOST_TEST(this->call(0).released);
    this->call(0).finish(CallResult::Answered);
    BOOST_TEST(this->replies.empty());
}

// Guards against a failure of an endpoint that hides behind a success.
BOOST_AUTO_TEST_CASE(retriesFailureAndReturnsTheLast)
{
    this->routeToService();
    this->earnBudget();
    this->start();
    this->call(0).finish(CallResult::Answered, 500, "first");
    BOOST_REQUIRE(this->caller.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered, 500, "second");
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].response->status == 500);
    BOOST_TEST(this->replies[0].response->body == "second");
}

// Guards against waiting for an endpoint when none takes work.
BOOST_AUTO_TEST_CASE(refusesAtOnceWithoutEndpoints)
{
    this->routeToService();
    this->endpoints.setEvacuatedZones({ ZoneId("here") });
    this->start();
    BOOST_TEST(this->caller.calls.empty());
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal == Refusal::EndpointUnavailable));
    BOOST_TEST(this->replies[0].notRun);
}

BOOST_AUTO_TEST_SUITE_END()

}
