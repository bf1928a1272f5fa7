#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

/// A long single request at an instance with a small share of the fleet's retry budget.
struct SecondAttemptFixture : public ForwardingFixture
{
    static constexpr Duration objective = Milliseconds(1500);
    static constexpr Duration timeout = std::chrono::seconds(15);
    /// One of 84 instances with even shares, which gets a sixteenth of an extra attempt per second.
    static constexpr double smallShare = 1.0 / 84;
    /// An active instance of a fleet with few of them; gets 1.3 extra attempts per second.
    static constexpr double largeShare = 0.25;

    SecondAttemptFixture()
    {
        this->routeToService();
        this->route.latencyObjective = objective;
        this->route.timeout = timeout;
        this->retryBudget.setLimits({ 0.2, 208, std::chrono::seconds(10) });
        this->retryBudget.setFleetShare(smallShare);
        for (int sample = 0; sample < 30; ++sample) {
            this->latencies.record(this->route.name, Milliseconds(200));
        }
        // The retry budget of a new instance does not accrue before.
        this->clock.advance(std::chrono::seconds(3));
    }

    ~SecondAttemptFixture()
    {
        this->finishAllRequests();
    }

    /// An instance that has made no extra attempt for a while.
    void idle()
    {
        this->clock.advance(std::chrono::seconds(60));
    }

    /// Starts a request whose endpoint's connection is lost 1 ms later.
    void startAndCrash()
    {
        this->start();
        this->clock.advance(Milliseconds(1));
        this->endpointSender.calls.back()->finish(CallResult::Lost);
    }

    void removeBudget()
    {
        this->retryBudget.setLimits({ 0, 0, std::chrono::seconds(10) });
    }

    /// Removes the endpoint of a call from the feed's data.
    void removeEndpointOf(std::size_t number)
    {
        this->endpoints.remove(this->call(number).call.endpoint->record.id);
    }

    /// Registers a new process under the id of a call's endpoint.
    void replaceEndpointOf(std::size_t number)
    {
        EndpointRecord record = this->call(number).call.endpoint->record;
        record.processStartMs += 1000;
        this->endpoints.addOrUpdate(record, this->clock.now());
    }

    bool isAnsweredWith(Refusal refusal) const
    {
        return this->replies.size() == 1 && this->replies.front().refusal() == refusal;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(SecondAttemptTest, SecondAttemptFixture)

// Guards against a 502 although the instance has made no extra attempt since its start. Pattern: the endpoint crashes
// 1 ms after the first request that this instance sends to the service, with 15 s left.
BOOST_AUTO_TEST_CASE(crashAfterIdleTimeIsRetried)
{
    this->idle();
    this->startAndCrash();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response().has_value());
}

// Guards against a 502 at once although the budget allows the retry a moment later, while the response can still arrive
// before the latency objective.
BOOST_AUTO_TEST_CASE(retryWaitsForBudget)
{
    this->retryBudget.setFleetShare(largeShare);
    this->startAndCrash();
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_TEST(this->replies.empty());
    this->clock.advance(Milliseconds(1000));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response().has_value());
}

// Guards against a caller that waits for a budget that comes too late for its objective: it can repeat the request
// itself sooner.
BOOST_AUTO_TEST_CASE(failsAtOnceWhenBudgetComesTooLate)
{
    this->startAndCrash();
    BOOST_TEST(this->isAnsweredWith(Refusal::OutcomeUnknown));
}

// Guards against a caller that is held to a deadline before the latency objective, by a wait for a budget that comes
// too late for the retry.
BOOST_AUTO_TEST_CASE(failsAtOnceWhenBudgetComesAfterDeadline)
{
    this->route.timeout = Milliseconds(500);
    this->retryBudget.setFleetShare(largeShare);
    this->startAndCrash();
    BOOST_TEST(this->isAnsweredWith(Refusal::OutcomeUnknown));
}

// Guards against a wait until the deadline when other requests use up the budget meanwhile.
BOOST_AUTO_TEST_CASE(waitForBudgetEndsBeforeObjective)
{
    this->retryBudget.setFleetShare(largeShare);
    this->startAndCrash();
    BOOST_TEST(this->replies.empty());
    this->removeBudget();
    this->clock.advance(objective);
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_TEST(this->isAnsweredWith(Refusal::OutcomeUnknown));
}

// Guards against more waiting requests than the budget can serve in time.
BOOST_AUTO_TEST_CASE(fewRequestsWaitForBudget)
{
    this->retryBudget.setLimits({ 0, 208, std::chrono::seconds(10) });
    this->retryBudget.setFleetShare(largeShare);
    for (int request = 0; request < 10; ++request) {
        this->startAndCrash();
    }
    // The budget is refilled by 1.3 extra attempts per second.
    BOOST_TEST(this->replies.size() >= 8U);
    BOOST_TEST(this->replies.size() < 10U);
}

// Guards against more attempts than the route allows after a wait for the budget.
BOOST_AUTO_TEST_CASE(waitingRetryKeepsToMaxAttempts)
{
    this->retryBudget.setFleetShare(largeShare);
    this->startAndCrash();
    this->clock.advance(Milliseconds(1000));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->fillBudget();
    this->call(1).finish(CallResult::Lost);
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
    BOOST_TEST(this->isAnsweredWith(Refusal::OutcomeUnknown));
}

// Guards against a wait that delays the "not run" reply to a non-idempotent request.
BOOST_AUTO_TEST_CASE(nonIdempotentDoesNotWaitForBudget)
{
    this->route.idempotency = Idempotency::NonIdempotent;
    this->retryBudget.setFleetShare(largeShare);
    this->start();
    this->call(0).finish(CallResult::NotRun, 503);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies.front().execution() == Execution::NotRun));
}

// Guards against a request that is held to its deadline by an endpoint that is gone without a reset of its connections,
// with an empty retry budget: the caller can repeat it only once it has the reply.
BOOST_AUTO_TEST_CASE(goneEndpointWithoutBudgetEndsRequest)
{
    this->removeBudget();
    this->start();
    this->clock.advance(std::chrono::seconds(3));
    this->removeEndpointOf(0);
    this->clock.advance(Milliseconds(500));
    BOOST_TEST(this->replies.empty());
    this->clock.advance(std::chrono::seconds(1));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_REQUIRE(this->isAnsweredWith(Refusal::OutcomeUnknown));
    BOOST_TEST((this->replies.front().execution() != Execution::NotRun));
    BOOST_TEST(this->call(0).cancelled);
}

// Guards against the same on a route that allows a single attempt.
BOOST_AUTO_TEST_CASE(goneEndpointEndsRequestWithSingleAttempt)
{
    this->route.maxAttempts = 1;
    this->idle();
    this->start();
    this->removeEndpointOf(0);
    this->clock.advance(std::chrono::seconds(4));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    BOOST_TEST(this->isAnsweredWith(Refusal::OutcomeUnknown));
}

// Guards against the same when another process runs under the id of the endpoint.
BOOST_AUTO_TEST_CASE(replacedEndpointWithoutBudgetEndsRequest)
{
    this->removeBudget();
    this->start();
    this->clock.advance(std::chrono::seconds(2));
    this->replaceEndpointOf(0);
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(this->isAnsweredWith(Refusal::OutcomeUnknown));
}

// Guards against a request that is not sent to another endpoint although the budget allows it within a fraction of the
// remaining time.
BOOST_AUTO_TEST_CASE(goneEndpointIsReplacedWithinBudget)
{
    this->removeBudget();
    this->start();
    this->removeEndpointOf(0);
    this->clock.advance(Milliseconds(1900));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    this->retryBudget.setLimits({ 0.2, 208, std::chrono::seconds(10) });
    this->retryBudget.setFleetShare(largeShare);
    this->clock.advance(std::chrono::seconds(1));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response().has_value());
}

// Guards against losing the response of an endpoint that has left cleanly and completes what it runs.
BOOST_AUTO_TEST_CASE(removedEndpointMayStillRespond)
{
    this->removeBudget();
    this->start();
    this->clock.advance(Milliseconds(1800));
    this->removeEndpointOf(0);
    this->clock.advance(Milliseconds(800));
    BOOST_TEST(!this->call(0).cancelled);
    this->call(0).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response().has_value());
}

// Guards against a request that ends early although the feed names its endpoint again: a store that lost the latest
// entries for a moment has removed it.
BOOST_AUTO_TEST_CASE(endpointThatIsRegisteredAgainIsNotGone)
{
    this->removeBudget();
    this->start();
    const EndpointRecord record = this->call(0).call.endpoint->record;
    this->clock.advance(std::chrono::seconds(2));
    this->endpoints.remove(record.id);
    this->clock.advance(Milliseconds(500));
    this->endpoints.addOrUpdate(record, this->clock.now());
    this->clock.advance(std::chrono::seconds(3));
    BOOST_TEST(this->replies.empty());
    this->call(0).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response().has_value());
}

// Guards against hedges that are denied until the end of a request that has waited for the budget, although it has its
// endpoint back and needs no retry.
BOOST_AUTO_TEST_CASE(waitForBudgetEndsWhenEndpointIsBack)
{
    this->removeBudget();
    this->start();
    const EndpointRecord record = this->call(0).call.endpoint->record;
    this->clock.advance(std::chrono::seconds(2));
    this->replaceEndpointOf(0);
    this->retryBudget.setLimits({ 0, 10, std::chrono::seconds(10) });
    this->retryBudget.setFleetShare(1);
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(this->counters.value("lycheewall_forwarding_budget_waits_total") == 1U);
    this->endpoints.addOrUpdate(record, this->clock.now());
    this->clock.advance(Milliseconds(100));
    BOOST_TEST(this->replies.empty());
    this->retryBudget.setLimits({ 1, 208, std::chrono::seconds(10) });
    this->retryBudget.recordFirstAttempt(ServiceId("s1"));
    this->retryBudget.recordFirstAttempt(ServiceId("s1"));
    BOOST_TEST(this->retryBudget.tryAcquire(ServiceId("s1"), ExtraAttempt::Hedge));
}

// Guards against a request that ends early because a registered endpoint is silent: it may still respond.
BOOST_AUTO_TEST_CASE(silenceAloneDoesNotEndRequest)
{
    this->removeBudget();
    this->start();
    this->clock.advance(Milliseconds(14'900));
    BOOST_TEST(this->replies.empty());
    this->call(0).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response().has_value());
}

// Guards against a silent second attempt that is the last one, although the route allows a third.
BOOST_AUTO_TEST_CASE(silentHedgeIsReplaced)
{
    EndpointRecord third = this->endpoints.find(EndpointId("s1a"))->record;
    third.id = EndpointId("s1c");
    this->endpoints.addOrUpdate(third, this->clock.now());
    this->route.maxAttempts = 3;
    this->retryBudget.setFleetShare(1);
    this->idle();
    this->start();
    this->clock.advance(std::chrono::seconds(4));
    BOOST_TEST(this->endpointSender.calls.size() == 3U);
    this->clock.advance(std::chrono::seconds(4));
    BOOST_TEST(this->endpointSender.calls.size() == 3U);
    BOOST_TEST(this->replies.empty());
}

// Guards against a reply to a non-idempotent request before its deadline because its endpoint was removed.
BOOST_AUTO_TEST_CASE(nonIdempotentWaitsForRemovedEndpoint)
{
    this->route.idempotency = Idempotency::NonIdempotent;
    this->idle();
    this->start();
    this->removeEndpointOf(0);
    this->clock.advance(Milliseconds(14'900));
    BOOST_TEST(this->replies.empty());
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    this->clock.advance(Milliseconds(100));
    BOOST_TEST(this->isAnsweredWith(Refusal::DeadlineExceeded));
}

BOOST_AUTO_TEST_SUITE_END()

}
