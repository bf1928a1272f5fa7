#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

struct ForwarderFixture : public PublishedRoutesFixture
{
    ForwarderFixture()
    {
        this->routeToService();
        OrganisationSpec organisation;
        organisation.id = OrganisationId("org");
        organisation.keys = { KeyCheck::hash("secret") };
        organisation.ratePerSecond = 10;
        organisation.burst = 10;
        this->tableContent.organisations.push_back(organisation);
    }

    void forward(const std::string &target, const std::optional<std::string> &key)
    {
        const auto callerRequest = request(this->clock.now());
        callerRequest->target = target;
        callerRequest->apiKey = key;
        this->exchange = this->forwarder.forward(callerRequest,
                                                 [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    }

    Refusal forwardForRefusal(const std::string &target, const std::optional<std::string> &key)
    {
        this->replies.clear();
        this->forward(target, key);
        return this->replies.empty() ? Refusal::None : this->replies.front().refusal();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ForwarderTest, ForwarderFixture)

// Guards against a 404 or 401 status from an instance that has not received a route table yet.
BOOST_AUTO_TEST_CASE(refusesBeforeFirstRouteTable)
{
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::NotReady));
    BOOST_TEST((this->replies.at(0).execution() == Execution::NotRun));
}

// Guards against requests that are forwarded without an API key, or with an unknown one.
BOOST_AUTO_TEST_CASE(checksApiKeys)
{
    this->publishTable();
    BOOST_TEST((this->forwardForRefusal("/x", std::nullopt) == Refusal::KeyMissing));
    BOOST_TEST((this->forwardForRefusal("/x", "wrong") == Refusal::KeyUnknown));
    BOOST_TEST(this->endpointSender.calls.empty());
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::None));
    BOOST_TEST((this->call(0).call.organisation == OrganisationId("org")));
}

// Guards against admitting every caller, with any API key or none, once the last organisation has been removed.
BOOST_AUTO_TEST_CASE(noOrganisationsAdmitNoKey)
{
    this->tableContent.organisations.clear();
    this->tableContent.requiresApiKeys = true;
    this->publishTable();
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::KeyUnknown));
    BOOST_TEST((this->forwardForRefusal("/x", std::nullopt) == Refusal::KeyMissing));
    BOOST_TEST(this->endpointSender.calls.empty());
    this->route.isPublic = true;
    this->publishTable();
    BOOST_TEST((this->forwardForRefusal("/x", std::nullopt) == Refusal::None));
}

// Guards against refusals in a fleet that is configured without API keys.
BOOST_AUTO_TEST_CASE(tableWithoutApiKeysAdmitsAllCallers)
{
    this->tableContent.organisations.clear();
    this->publishTable();
    BOOST_TEST((this->forwardForRefusal("/x", std::nullopt) == Refusal::None));
}

// Guards against accepting a revoked API key on an instance that receives no feed updates and so does not learn of the
// revocation.
BOOST_AUTO_TEST_CASE(refusesKeysWhenFeedDataIsStale)
{
    this->publishTable();
    this->clock.advance(Milliseconds(2900));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::None));
    this->clock.advance(Milliseconds(200));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::StaleConfiguration));
    BOOST_TEST((this->replies.at(0).execution() == Execution::NotRun));
}

// Guards against a process that resumes after a pause and trusts the feed data from before it.
BOOST_AUTO_TEST_CASE(refusesKeysAfterProcessPause)
{
    this->publishTable();
    this->clock.advanceWithoutTimers(std::chrono::seconds(5));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::StaleConfiguration));
}

// Guards against "unknown route" and "unknown key" refusals for a route or API key that was added while this instance
// received no feed updates.
BOOST_AUTO_TEST_CASE(reportsUnknownOnlyWithFreshFeedData)
{
    this->route.prefix = "/known/";
    this->publishTable();
    BOOST_TEST((this->forwardForRefusal("/unknown/", "secret") == Refusal::UnknownRoute));
    this->clock.advance(Milliseconds(1600));
    BOOST_TEST((this->forwardForRefusal("/unknown/", "secret") == Refusal::StaleConfiguration));
    BOOST_TEST((this->forwardForRefusal("/known/", "wrong") == Refusal::StaleConfiguration));
}

// Guards against admitting requests above the rate limit, and against a refusal with no retry-after time or a wrong
// one.
BOOST_AUTO_TEST_CASE(refusesRequestsAboveRateLimit)
{
    this->publishTable();
    this->clock.advance(Milliseconds(1500));
    this->freshness.confirm(this->clock.now());
    int admitted = 0;
    while (this->forwardForRefusal("/x", "secret") == Refusal::None) {
        ++admitted;
    }
    BOOST_TEST(admitted == 10);
    BOOST_REQUIRE(this->replies.at(0).retryAfter().has_value());
    this->clock.advance(*this->replies.at(0).retryAfter() + Milliseconds(1));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::None));
}

// Guards against callers who are refused because of their organisation's rate when they retry requests that no endpoint
// has taken.
BOOST_AUTO_TEST_CASE(requestsThatNoEndpointTakesDoNotUseTheRate)
{
    this->publishTable();
    this->clock.advance(std::chrono::seconds(1));
    this->freshness.confirm(this->clock.now());
    for (const char *endpoint : { "s1a", "s1b" }) {
        this->endpoints.find(EndpointId(endpoint))->backoff.start(std::chrono::seconds(1), this->clock.now());
    }
    for (int attempt = 0; attempt < 100; ++attempt) {
        BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::EndpointThrottled));
    }
    BOOST_TEST(this->quota.recentUsage().empty());
    this->clock.advance(Milliseconds(1100));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::None));
}

// Guards against an organisation that loses its rate with requests which were rejected for lack of room.
BOOST_AUTO_TEST_CASE(requestsRejectedForLackOfRoomDoNotCountAgainstRate)
{
    this->publishTable();
    for (const char *endpoint : { "s1a", "s1b" }) {
        this->endpoints.find(EndpointId(endpoint))->stats.updateLoad({ 4, 100, 4, 1 }, this->clock.now());
    }
    for (int attempt = 0; attempt < 20; ++attempt) {
        BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::QueueFull));
    }
    BOOST_TEST(this->quota.recentUsage().empty());
}

// Guards against an organisation that loses its rate with requests which were rejected because no endpoint can meet
// their deadline.
BOOST_AUTO_TEST_CASE(requestsRejectedForTheirDeadlineDoNotCountAgainstRate)
{
    this->publishTable();
    for (const char *endpoint : { "s1a", "s1b" }) {
        this->endpoints.find(EndpointId(endpoint))->stats.updateLoad({ 0, 0, 4, 1 }, this->clock.now());
    }
    AdmittedRequest slow;
    slow.table = this->table();
    slow.route = &slow.table->routes().front();
    slow.request = request(this->clock.now());
    for (int number = 0; number < 20; ++number) {
        this->overloadControl.recordLatency(slow, ServiceId("s1"), std::chrono::minutes(1), this->clock.now());
    }
    slow.service = ServiceId("s1");
    slow.deadline = this->clock.now() + std::chrono::seconds(1);
    // The first request is a probe.
    BOOST_TEST(!this->overloadControl.decide(slow, this->clock.now()).has_value());
    for (int attempt = 0; attempt < 5; ++attempt) {
        BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::DeadlineUnreachable));
    }
    BOOST_TEST(this->quota.recentUsage().empty());
}

// Guards against forwarding a request whose caller does not wait for the reply any more.
BOOST_AUTO_TEST_CASE(refusesExpiredDeadlines)
{
    this->publishTable();
    const auto callerRequest = request(this->clock.now());
    callerRequest->apiKey = "secret";
    callerRequest->deadline = this->clock.now();
    this->forwarder.forward(callerRequest, [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    BOOST_TEST((this->replies.at(0).refusal() == Refusal::DeadlineUnreachable));
    BOOST_TEST(this->endpointSender.calls.empty());
}

// Guards against a non-idempotent request that an instance takes during its shutdown although it may run beyond the end
// of the process: its caller would get no answer and could not repeat it.
BOOST_AUTO_TEST_CASE(stoppingInstanceRefusesNonIdempotentRequestsThatMayNotEnd)
{
    this->route.idempotency = Idempotency::NonIdempotent;
    this->publishTable();
    this->forwarder.setStopTime(this->clock.now() + Milliseconds(999));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::ShuttingDown));
    BOOST_TEST((this->replies.at(0).execution() == Execution::NotRun));
    BOOST_TEST(this->endpointSender.calls.empty());
    // The route's timeout of 1 s ends just before the stop.
    this->forwarder.setStopTime(this->clock.now() + Milliseconds(1001));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::None));
}

// Guards against a stopping instance that refuses requests which would end in time, and against one that takes
// idempotent requests that would hardly end.
BOOST_AUTO_TEST_CASE(stoppingInstanceTakesIdempotentRequestsThatCanEnd)
{
    this->publishTable();
    this->forwarder.setStopTime(this->clock.now() + 2 * this->route.latencyObjective + Milliseconds(1));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::None));
    this->clock.advance(Milliseconds(2));
    BOOST_TEST((this->forwardForRefusal("/x", "secret") == Refusal::ShuttingDown));
    BOOST_TEST((this->replies.at(0).retryAfter() == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}
