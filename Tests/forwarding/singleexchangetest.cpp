#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_FIXTURE_TEST_SUITE(SingleExchangeTest, ForwardingFixture)

// Guards against a response that is modified while it is forwarded to the caller.
BOOST_AUTO_TEST_CASE(returnsUnmodifiedResponse)
{
    this->routeToService();
    this->start();
    this->call(0).finish(CallResult::Answered, 200, "body");
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].response()->body == "body");
    BOOST_TEST(!this->replies[0].response()->signature.empty());
}

// Guards against running a non-idempotent request at two endpoints because it is retried after a lost connection.
BOOST_AUTO_TEST_CASE(nonIdempotentIsNotRetriedAfterLoss)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    this->fillBudget();
    this->start();
    this->call(0).finish(CallResult::Lost);
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown));
    BOOST_TEST((this->replies[0].execution() != Execution::NotRun));
}

// Guards against hedging a non-idempotent request.
BOOST_AUTO_TEST_CASE(nonIdempotentIsNotHedged)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    this->fillBudget();
    this->start();
    this->clock.advance(Milliseconds(900));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    this->clock.advance(Milliseconds(200));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::DeadlineExceeded));
    BOOST_TEST((this->replies[0].execution() != Execution::NotRun));
}

// Guards against failing a non-idempotent request that can be retried safely because the first endpoint did not run it.
BOOST_AUTO_TEST_CASE(nonIdempotentIsRetriedWhenNotRun)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    this->fillBudget();
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    BOOST_TEST((this->call(0).call.endpoint->record.id != this->call(1).call.endpoint->record.id));
    this->call(1).finish(CallResult::Answered);
    BOOST_TEST(this->replies.at(0).response().has_value());
}

// Guards against a wrong "not run": it is stated only if it is certain that no endpoint has run the request.
BOOST_AUTO_TEST_CASE(statesNotRunOnlyWhenCertain)
{
    this->routeToService();
    this->fillBudget();
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    this->call(1).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].execution() == Execution::NotRun));
    BOOST_TEST(this->replies[0].retryAfter().has_value());

    this->start();
    this->call(2).finish(CallResult::Lost);
    this->call(3).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 2U);
    BOOST_TEST((this->replies[1].execution() != Execution::NotRun));
}

// Guards against more attempts than the route allows.
BOOST_AUTO_TEST_CASE(keepsToMaxAttempts)
{
    this->routeToService();
    this->route.maxAttempts = 1;
    this->fillBudget();
    this->start();
    this->call(0).finish(CallResult::Lost);
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_TEST(this->replies.size() == 1U);
}

// Guards against retries beyond the fleet-wide retry budget.
BOOST_AUTO_TEST_CASE(doesNotRetryWithoutBudget)
{
    this->routeToService();
    this->start();
    this->call(0).finish(CallResult::Lost);
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown));
}

// Guards against a retry budget that is consumed by attempts whose connection fails before the request is sent.
BOOST_AUTO_TEST_CASE(failedConnectionConsumesNoBudget)
{
    this->routeToService();
    this->start();
    this->call(0).finish(CallResult::NotSent);
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered);
    BOOST_TEST(this->replies.at(0).response().has_value());
}

// Guards against endpoints that continue to work on a request after its caller has disconnected.
BOOST_AUTO_TEST_CASE(cancelsAttemptWhenCallerDisconnects)
{
    this->routeToService();
    this->start();
    this->exchange->cancel();
    BOOST_TEST(this->call(0).cancelled);
    this->call(0).finish(CallResult::Answered);
    BOOST_TEST(this->replies.empty());
}

// Guards against hiding the failure of an endpoint: after a failed retry, the caller gets the last error response.
BOOST_AUTO_TEST_CASE(returnsLastFailureAfterRetry)
{
    this->routeToService();
    this->fillBudget();
    this->start();
    this->call(0).finish(CallResult::Answered, 500, "first");
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered, 500, "second");
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].response()->status == 500);
    BOOST_TEST(this->replies[0].response()->body == "second");
}

// Guards against an endpoint's own failure that callers take for a statement that the request has not run: an endpoint
// that fails after it has run a request may choose any status. Callers would send the request again.
BOOST_AUTO_TEST_CASE(failureOfAnEndpointDoesNotStateNotRun)
{
    this->routeToService();
    this->route.idempotency = Idempotency::NonIdempotent;
    for (const int status : { 408, 421, 429, 503 }) {
        this->replies.clear();
        this->start();
        this->endpointSender.calls.back()->finish(CallResult::Answered, status);
        BOOST_REQUIRE(this->replies.size() == 1U);
        BOOST_TEST(!this->replies[0].response(), status);
        BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown), status);
        BOOST_TEST((this->replies[0].execution() != Execution::NotRun), status);
        BOOST_TEST(!this->replies[0].retryAfter(), status);
    }
    BOOST_TEST(this->endpointSender.calls.size() == 4U);
}

// Guards against an idempotent request that ends with a failure which cannot be passed on although another endpoint
// could serve it, and against a promise if that one fails too.
BOOST_AUTO_TEST_CASE(idempotentIsRetriedAfterAFailureThatIsNotPassedOn)
{
    this->routeToService();
    this->fillBudget();
    for (const int status : { 408, 421, 429, 503 }) {
        this->replies.clear();
        this->start();
        const std::size_t first = this->endpointSender.calls.size() - 1;
        this->call(first).finish(CallResult::Answered, status);
        BOOST_REQUIRE(this->endpointSender.calls.size() == first + 2);
        this->call(first + 1).finish(CallResult::NotRun, status);
        BOOST_REQUIRE(this->replies.size() == 1U);
        BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown), status);
        BOOST_TEST((this->replies[0].execution() == Execution::Ran), status);
    }
    BOOST_TEST(this->counters.value("lycheewall_forwarding_responses_withheld_total{reason=\"503\"}") == 1U);
}

// Guards against waiting for an endpoint if none is available.
BOOST_AUTO_TEST_CASE(refusesAtOnceWithoutAvailableEndpoints)
{
    this->routeToService();
    this->endpoints.setEvacuatedZones({ ZoneId("here") });
    this->start();
    BOOST_TEST(this->endpointSender.calls.empty());
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::EndpointUnavailable));
    BOOST_TEST((this->replies[0].execution() == Execution::NotRun));
}

// Guards against a "may have run" reply for a request that has waited for a connection until its deadline: the caller
// could not repeat it.
BOOST_AUTO_TEST_CASE(deadlineWithoutSendStatesNotRun)
{
    this->routeToService();
    this->route.maxAttempts = 1;
    this->start();
    this->call(0).sent = false;
    this->clock.advance(this->route.timeout);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies.at(0).refusal() == Refusal::DeadlineUnreachable));
    BOOST_TEST((this->replies.at(0).execution() == Execution::NotRun));
    BOOST_TEST(this->call(0).cancelled);
}

// Guards against a request in flight that ends with the process and gets no reply, and against a "not run" reply for a
// request that was sent.
BOOST_AUTO_TEST_CASE(repliesWhenTheInstanceEnds)
{
    this->routeToService();
    this->start();
    this->exchange->finishEarly();
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies.at(0).execution() != Execution::NotRun));
    BOOST_TEST(this->call(0).cancelled);
    this->exchange->finishEarly();
    BOOST_TEST(this->replies.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
