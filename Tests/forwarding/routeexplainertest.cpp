#include "forwarding/routeexplainerfixture.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

std::optional<EndpointVerdict> verdictOn(const RouteExplanation &explanation, const char *id)
{
    for (const ServiceExplanation &service : explanation.services) {
        for (const EndpointExplanation &endpoint : service.endpoints) {
            if (endpoint.endpoint.value() == id) {
                return endpoint.verdict;
            }
        }
    }
    return std::nullopt;
}

/// Changes the state so that the endpoint s1a gets the verdict, and is not the one that is chosen.
struct VerdictCase
{
    EndpointVerdict verdict;
    std::function<void(ExplainerFixture &)> prepare;
};

const std::vector<VerdictCase> verdictCases {
    { EndpointVerdict::Draining,
      [](ExplainerFixture &fixture) {
          fixture.changeRecord("s1a", [](EndpointRecord &record) { record.draining = true; });
      } },
    { EndpointVerdict::Leaving,
      [](ExplainerFixture &fixture) {
          fixture.endpoint("s1a").leaving = true;
      } },
    { EndpointVerdict::ZoneEvacuated,
      [](ExplainerFixture &fixture) {
          fixture.changeRecord("s1a", [](EndpointRecord &record) { record.zone = ZoneId("there"); });
          fixture.endpoints.setEvacuatedZones({ ZoneId("there") });
      } },
    { EndpointVerdict::Backoff,
      [](ExplainerFixture &fixture) {
          fixture.endpoint("s1a").backoff.start(Milliseconds(500), fixture.clock.now());
      } },
    { EndpointVerdict::RateLimit,
      [](ExplainerFixture &fixture) {
          fixture.endpoint("s1a").rateLimit.apply({ 2.0, false }, fixture.clock.now(), fixture.clock.now());
      } },
    { EndpointVerdict::Ejected,
      [](ExplainerFixture &fixture) {
          for (int failure = 0; failure < 2; ++failure) {
              EndpointStats &stats = fixture.endpoint("s1a").stats;
              stats.requestFailed(stats.requestStarted(fixture.clock.now(), Milliseconds(10)), fixture.clock.now());
          }
      } },
    { EndpointVerdict::Cold,
      [](ExplainerFixture &fixture) {
          fixture.changeRecord("s1a", [](EndpointRecord &record) { record.remainingWarmup = std::chrono::seconds(9); });
      } },
    { EndpointVerdict::Suspect,
      [](ExplainerFixture &fixture) {
          EndpointStats &stats = fixture.endpoint("s1a").stats;
          const auto token = stats.requestStarted(fixture.clock.now(), Milliseconds(10));
          fixture.clock.advance(Milliseconds(80));
          stats.requestSucceeded(token, fixture.clock.now());
      } },
    { EndpointVerdict::SlowerEstimate,
      [](ExplainerFixture &fixture) {
          fixture.endpoint("s1a").stats.updateLoad({ 0, 0, 4, 3.0 }, fixture.clock.now());
      } },
    { EndpointVerdict::Busier,
      [](ExplainerFixture &fixture) {
          for (int started = 0; started < 3; ++started) {
              fixture.endpoint("s1a").stats.requestStarted(fixture.clock.now(), Milliseconds(10));
          }
      } },
    { EndpointVerdict::Stalled,
      [](ExplainerFixture &fixture) {
          fixture.endpoint("s1a").stats.requestStarted(fixture.clock.now(), Milliseconds(10));
          fixture.clock.advance(Milliseconds(100));
      } },
    { EndpointVerdict::RecentFailures,
      [](ExplainerFixture &fixture) {
          EndpointStats &stats = fixture.endpoint("s1a").stats;
          stats.requestFailed(stats.requestStarted(fixture.clock.now(), Milliseconds(10)), fixture.clock.now());
      } },
    { EndpointVerdict::OtherZone,
      [](ExplainerFixture &fixture) {
          fixture.changeRecord("s1a", [](EndpointRecord &record) { record.zone = ZoneId("there"); });
      } },
};

}

BOOST_FIXTURE_TEST_SUITE(RouteExplainerTest, ExplainerFixture)

// Guards against a wrong reason for an endpoint that gets no request, and against an explanation that names another
// endpoint than the one that the next request is sent to.
BOOST_AUTO_TEST_CASE(namesReasonOfEachEndpointThatIsNotChosen)
{
    for (const VerdictCase &verdictCase : verdictCases) {
        ExplainerFixture fixture;
        fixture.routeToService();
        verdictCase.prepare(fixture);
        fixture.publishTable();
        const RouteExplanation explanation = fixture.explain();
        const auto verdict = verdictOn(explanation, "s1a");
        BOOST_REQUIRE(verdict);
        BOOST_TEST(endpointVerdictName(*verdict) == endpointVerdictName(verdictCase.verdict));
        BOOST_TEST((verdictOn(explanation, "s1b") == EndpointVerdict::Chosen));
        fixture.forward();
        BOOST_TEST(fixture.call(0).call.endpoint->record.id == *explanation.services.front().chosen);
    }
}

// Guards against an arbitrary one of several equal endpoints that is presented as the only choice.
BOOST_AUTO_TEST_CASE(namesEndpointsBetweenWhichChanceDecides)
{
    this->routeToService();
    this->publishTable();
    const RouteExplanation explanation = this->explain();
    BOOST_TEST((verdictOn(explanation, "s1a") == EndpointVerdict::Chosen));
    BOOST_TEST((verdictOn(explanation, "s1b") == EndpointVerdict::EquallyGood));
}

// Guards against another answer than a caller gets, for each check of the admission.
BOOST_AUTO_TEST_CASE(answersAsForwarderDoesForRoutesAndKeys)
{
    this->routeToService();
    this->checkRefusal(Refusal::NotReady);
    this->publishTable();
    this->checkRefusal(Refusal::None);
    this->query.host = "other-host";
    this->checkRefusal(Refusal::UnknownRoute);
    this->query.host = "host";
    this->query.organisation.reset();
    this->checkRefusal(Refusal::KeyMissing);
    this->query.organisation = OrganisationId("nobody");
    this->checkRefusal(Refusal::KeyUnknown);
    this->clock.advance(Milliseconds(2000));
    this->checkRefusal(Refusal::StaleConfiguration);
    this->query.organisation = OrganisationId("org");
    this->checkRefusal(Refusal::None);
    this->clock.advance(Milliseconds(2000));
    this->checkRefusal(Refusal::StaleConfiguration);
}

// As above, for time and rate.
BOOST_AUTO_TEST_CASE(answersAsForwarderDoesForTimeAndRate)
{
    this->routeToService();
    this->publishTable();
    this->query.deadline = Duration::zero();
    this->checkRefusal(Refusal::DeadlineUnreachable);
    this->query.deadline.reset();
    while (!this->quota.throttle(OrganisationId("org"))) { }
    this->checkRefusal(Refusal::RateExceeded);
    BOOST_TEST(this->explain().quota->tokens < 1);
    this->clock.advance(Milliseconds(500));
    this->checkRefusal(Refusal::None);
    this->forwarder.setStopTime(this->clock.now());
    this->checkRefusal(Refusal::ShuttingDown);
}

// As above, for endpoints that take no requests.
BOOST_AUTO_TEST_CASE(answersAsForwarderDoesWithoutUsableEndpoints)
{
    this->routeToService();
    this->publishTable();
    for (const char *id : { "s1a", "s1b" }) {
        this->endpoint(id).backoff.start(Milliseconds(700), this->clock.now());
    }
    this->checkRefusal(Refusal::EndpointThrottled);
    for (const char *id : { "s1a", "s1b" }) {
        this->endpoint(id).leaving = true;
    }
    this->checkRefusal(Refusal::EndpointUnavailable);
    BOOST_TEST(!this->explain().services.front().chosen);
}

// As above, for the required coverage of a query.
BOOST_AUTO_TEST_CASE(answersAsForwarderDoesWithoutCoverage)
{
    this->routeToShards(1);
    this->publishTable();
    for (const char *id : { "s2a", "s2b" }) {
        this->endpoint(id).backoff.start(Milliseconds(700), this->clock.now());
    }
    this->checkRefusal(Refusal::EndpointThrottled);
    for (const char *id : { "s2a", "s2b" }) {
        this->endpoint(id).leaving = true;
    }
    // The first shard has been sent when the second one fails.
    this->checkRefusal(Refusal::OutcomeUnknown);
    for (const char *id : { "s1a", "s1b" }) {
        this->endpoint(id).leaving = true;
    }
    this->checkRefusal(Refusal::EndpointUnavailable);
}

// As above, for endpoints that are short of room: most requests are rejected and some sent as a probe.
BOOST_AUTO_TEST_CASE(answersAsOverloadControlDoes)
{
    this->routeToService();
    this->publishTable();
    int rejected = 0;
    int probes = 0;
    for (int number = 0; number < 100; ++number) {
        this->clock.advance(Milliseconds(20));
        this->freshness.confirm(this->clock.now());
        this->reportWaiting(60);
        const AdmissionExplanation admission = this->explain().admission;
        BOOST_TEST((admission.wait > Duration::zero()));
        rejected += admission.refusal == Refusal::QueueFull ? 1 : 0;
        probes += admission.isProbe ? 1 : 0;
        this->checkRefusal(admission.refusal);
    }
    BOOST_TEST(rejected > 10);
    BOOST_TEST(probes > 2);
}

// Guards against a shard that the query leaves out and the explanation shows as sent, or the other way round.
BOOST_AUTO_TEST_CASE(namesShardsThatAreLeftOutOrRelayed)
{
    this->routeToShards(0.5);
    this->context.relay = &this->relay;
    for (const char *id : { "s1a", "s1b" }) {
        this->endpoint(id).backoff.start(Milliseconds(700), this->clock.now());
    }
    for (const char *id : { "s2a", "s2b" }) {
        this->changeRecord(id, [](EndpointRecord &record) { record.zone = ZoneId("there"); });
    }
    this->publishTable();
    const RouteExplanation explanation = this->explain();
    BOOST_TEST(refusalCode(explanation.admission.refusal) == refusalCode(Refusal::None));
    BOOST_REQUIRE(explanation.services.size() == 2U);
    BOOST_TEST(explanation.services[0].service.value() == "s1");
    BOOST_TEST(refusalCode(explanation.services[0].skipped) == refusalCode(Refusal::EndpointThrottled));
    BOOST_TEST(!explanation.services[0].isRelayed);
    BOOST_TEST(refusalCode(explanation.services[1].skipped) == refusalCode(Refusal::None));
    BOOST_TEST(explanation.services[1].isRelayed);
    BOOST_REQUIRE(explanation.relay);
    BOOST_TEST(explanation.relay->instances == 2U);
}

// Guards against a response whose size grows with the fleet.
BOOST_AUTO_TEST_CASE(listsBoundedNumbersAndCountsTheOthers)
{
    const int shards = 100;
    for (int number = 0; number < shards; ++number) {
        const ServiceId service("shard" + std::to_string(number));
        this->route.shards.push_back(service);
        ServiceSpec spec;
        spec.id = service;
        this->tableContent.services.push_back(spec);
        for (int copy = 0; copy < 20; ++copy) {
            EndpointRecord record;
            record.id = EndpointId(service.value() + '-' + std::to_string(copy));
            record.service = service;
            record.zone = ZoneId("here");
            record.draining = copy == 0;
            this->endpoints.addOrUpdate(record, this->clock.now());
        }
    }
    this->publishTable();
    const RouteExplanation explanation = this->explain();
    BOOST_TEST(explanation.services.size() == maxListedServices);
    BOOST_TEST(explanation.unlistedServices == shards - maxListedServices);
    const ServiceExplanation &service = explanation.services.front();
    const std::size_t listed = maxListedEndpoints / maxListedServices;
    BOOST_TEST(service.endpoints.size() == listed);
    BOOST_TEST(service.unlistedEndpoints == 20 - listed);
    BOOST_TEST(service.verdictCounts.at(EndpointVerdict::Draining) == 1U);
}

// Guards against an explanation that takes a token, draws a random number, counts something or changes what is decided
// afterwards: two instances get the same requests, and only one of them explains in between.
BOOST_AUTO_TEST_CASE(explainingChangesNothing)
{
    const auto run = [](bool explains) {
        ExplainerFixture fixture;
        fixture.tableContent.organisations.front().ratePerSecond = 30;
        fixture.tableContent.organisations.front().burst = 20;
        OrganisationSpec other = fixture.tableContent.organisations.front();
        other.id = OrganisationId("other");
        other.keys = { KeyCheck::hash("other-key") };
        fixture.tableContent.organisations.push_back(other);
        fixture.routeToShards(0.5);
        fixture.route.prefix = "/shards/";
        fixture.route.priority = 1;
        Route weighted = fixture.route;
        weighted.name = "weighted";
        weighted.prefix = "/weighted/";
        weighted.shards.clear();
        weighted.services = { { ServiceId("s1"), 1 }, { ServiceId("s2"), 2 } };
        fixture.tableContent.routes.push_back(weighted);
        // Requests of these routes are only explained. They would take precedence over the others.
        for (const Route &ordinary : { fixture.route, weighted }) {
            Route urgent = ordinary;
            urgent.name = "urgent-" + ordinary.name;
            urgent.prefix = "/urgent" + ordinary.prefix;
            urgent.priority = 0;
            fixture.tableContent.routes.push_back(urgent);
        }
        fixture.publishTable();
        for (const char *id : { "s2a", "s2b" }) {
            fixture.endpoint(id).rateLimit.apply({ 40.0, false }, fixture.clock.now(), fixture.clock.now());
        }
        for (int step = 0; step < 300; ++step) {
            fixture.clock.advance(Milliseconds(step % 7));
            fixture.freshness.confirm(fixture.clock.now());
            fixture.reportWaiting(step % 100);
            // If explained requests counted as sent, this organisation would exceed its fair share.
            fixture.query.organisation = OrganisationId("other");
            for (const char *target : { "/urgent/shards/x", "/urgent/weighted/x", "/shards/x", "/weighted/x" }) {
                fixture.query.target = target;
                if (explains) {
                    fixture.explain();
                }
            }
            fixture.query.target = step % 2 == 0 ? "/shards/x" : "/weighted/x";
            fixture.query.organisation = OrganisationId(step % 3 == 0 ? "other" : "org");
            fixture.forward();
            if (!fixture.endpointSender.calls.empty()) {
                fixture.endpointSender.calls.back()->finish(step % 5 == 0 ? CallResult::NotRun : CallResult::Answered);
            }
        }
        std::string result = fixture.counters.exposition();
        for (const auto &call : fixture.endpointSender.calls) {
            result += call->call.endpoint->record.id.value() + ' ';
        }
        for (const ForwardReply &reply : fixture.replies) {
            result += std::string(refusalCode(reply.refusal())) + ' '
                + std::to_string(reply.retryAfter().value_or(Duration::zero()).count()) + ' ';
        }
        result += std::to_string(fixture.quota.state(OrganisationId("org"))->tokens) + ' '
            + std::to_string(fixture.retryBudget.state(ServiceId("s1")).extraAttempts) + ' '
            + std::to_string(fixture.forwarder.requestRate().perSecond(fixture.clock.now())) + ' '
            + std::to_string(fixture.random.bits());
        return result;
    };
    const std::string result = run(true);
    BOOST_TEST(result == run(false));
    // The run has come to the decisions that keep state.
    for (const char *code : { "queue-full", "endpoint-throttled", "rate-exceeded" }) {
        BOOST_TEST(result.find(code) != std::string::npos, "no request was refused with " << code);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
