#include "coordinator/coordinator.h"
#include "admission/keycheck.h"
#include "coordinator/fakes.h"
#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

/// Organisations x and y; each is given the keys that are named.
std::string catalogueText(const std::string &keyOfX, const std::string &keyOfY)
{
    const auto hex = [](const std::string &key) {
        std::string text;
        for (const unsigned char byte : KeyCheck::hash(key)) {
            text += "0123456789abcdef"[byte / 16];
            text += "0123456789abcdef"[byte % 16];
        }
        return text;
    };
    const auto organisation = [&](const std::string &id, const std::string &key) {
        return "  " + id + ":\n    owner: team\n    class: interactive\n    rate: 10\n    burst: 10\n"
            + "    pools: [search, single]\n    keys:\n      - sha256:" + hex(key) + "\n";
    };
    return R"(deployment: test
zones: [z1]
pools:
  search:
    owner: team
    class: interactive
    slots: 2
    connections: 25
    cold-slots: 1
    groups:
      s0:
        endpoints:
          - { id: e0, address: "127.0.0.1:1000", zone: z1 }
    snapshots:
      - version: 7
        documents: { s0: 1 }
  single:
    owner: team
    class: interactive
    slots: 3
    connections: 110
    endpoints:
      - { id: f0, address: "127.0.0.1:2000", zone: z1 }
  public:
    owner: team
    class: interactive
    open: true
    slots: 3
    connections: 110
    endpoints:
      - { id: h0, address: "127.0.0.1:3000", zone: z1 }
organisations:
)" + organisation("x", keyOfX)
        + organisation("y", keyOfY);
}

struct Fixture
{
    ManualClock clock;
    Counters counters;
    ConfigurationStore configuration { clock, counters };
    Freshness freshness { clock };
    FakeAdmission admission;
    FakeRouter router;
    SnapshotChooser snapshots { clock };
    Random random { 1 };
    GroupChooser groups { random };
    RequestTraces traces;
    Coordinator coordinator { CoordinatorContext {
        clock, clock, configuration, freshness, admission, router, snapshots, groups, traces, counters } };
    std::vector<CallerAnswer> answers;
    std::uint64_t version = 0;

    Fixture()
    {
        this->publish("key-x", "key-y");
        this->freshness.platformRead();
        this->coordinator.setReady(true);
    }
    void publish(const std::string &keyOfX, const std::string &keyOfY)
    {
        const VersionedValue value { ValueVersion(++this->version), catalogueText(keyOfX, keyOfY) };
        BOOST_REQUIRE(this->configuration.offer(ValueName::Catalogue, value, "platform").has_value());
    }
    void run(const std::string &pool, const std::optional<std::string> &key = "key-x", bool query = false)
    {
        CallerRequest request;
        request.id = RequestId("r" + std::to_string(++this->lastRequest));
        request.pool = PoolId(pool);
        request.key = key;
        request.query = query;
        request.idempotent = false;
        request.deadline = 1s;
        this->coordinator.run(request, [this](const CallerAnswer &answer) { this->answers.push_back(answer); });
    }
    void admit(Refusal refusal = Refusal::None, Duration retryAfter = Duration::zero())
    {
        this->admission.waiting.back()(refusal, retryAfter);
    }
    /// True when exactly one request ended, with this refusal and without any work.
    bool refusedOnce(Refusal refusal) const
    {
        return this->answers.size() == 1 && this->answers[0].refusal == refusal
            && this->answers[0].execution == Execution::NotRun && this->router.submitted.empty()
            && this->coordinator.running() == 0;
    }

private:
    int lastRequest = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(CoordinatorTest, Fixture)

// Guards against work for a key that was withdrawn, or given to another organisation, while the request waited.
BOOST_AUTO_TEST_CASE(keyWithdrawnWhileWaitingForAToken)
{
    for (const bool query : { false, true }) {
        for (const char *newOwner : { "key-z", "key-x" }) {
            this->answers.clear();
            this->publish("key-x", "key-y");
            this->run(query ? "search" : "single", "key-x", query);
            BOOST_TEST(this->admission.organisations.back() == OrganisationId("x"));
            this->publish("key-w", newOwner);
            this->admit();
            BOOST_TEST(this->refusedOnce(Refusal::KeyUnknown));
        }
    }
}

// Guards against requests that spend a token, or reach the router, without a valid key and pool.
BOOST_AUTO_TEST_CASE(refusesBeforeAdmission)
{
    const std::vector<std::tuple<std::string, std::optional<std::string>, bool, Refusal>> cases {
        { "single", "wrong", false, Refusal::KeyUnknown },
        { "single", std::nullopt, false, Refusal::KeyMissing },
        { "nowhere", "key-x", false, Refusal::UnknownPool },
        { "single", "key-x", true, Refusal::BadRequest },
    };
    for (const auto &[pool, key, query, refusal] : cases) {
        this->answers.clear();
        this->run(pool, key, query);
        BOOST_TEST(this->refusedOnce(refusal));
    }
    BOOST_TEST(this->admission.waiting.empty());
}

// Guards against admissions by an instance that no longer learns of changes, also when that began during the wait.
BOOST_AUTO_TEST_CASE(cutOffInstanceRefuses)
{
    this->run("single");
    this->clock.advanceWithoutTimers(3s);
    this->admit();
    BOOST_TEST(this->refusedOnce(Refusal::StaleConfiguration));
    this->answers.clear();
    this->run("single");
    BOOST_TEST(this->refusedOnce(Refusal::StaleConfiguration));
    BOOST_TEST(this->admission.waiting.size() == 1U);
    this->answers.clear();
    this->run("public", std::nullopt);
    BOOST_TEST(this->refusedOnce(Refusal::StaleConfiguration));
}

// Guards against work in an instance that is starting or leaving.
BOOST_AUTO_TEST_CASE(instanceThatIsNotReadyRefuses)
{
    this->coordinator.setReady(false);
    this->run("single");
    BOOST_TEST(this->refusedOnce(Refusal::NotReady));
    BOOST_TEST(this->admission.waiting.empty());
}

// Guards against parts that run past the caller's deadline because the wait for the token was not counted.
BOOST_AUTO_TEST_CASE(waitForTheTokenCounts)
{
    for (const bool query : { false, true }) {
        this->run(query ? "search" : "single", "key-x", query);
        BOOST_TEST((this->admission.patience == Duration(600ms)));
        this->clock.advanceWithoutTimers(250ms);
        this->admit();
        BOOST_REQUIRE(this->router.submitted.size() == (query ? 2U : 1U));
        BOOST_TEST((this->router.submitted.back().first.remaining == Duration(750ms)));
        BOOST_TEST(this->router.submitted.back().first.organisation == OrganisationId("x"));
        this->router.end(AttemptOutcome::Answered, Refusal::None, "body");
    }
    BOOST_TEST(this->answers.size() == 2U);
    BOOST_TEST(this->coordinator.running() == 0U);
}

// Guards against work that starts after the deadline because the gate answered late.
BOOST_AUTO_TEST_CASE(lateTokenEndsTheRequest)
{
    this->run("single");
    this->clock.advanceWithoutTimers(1s);
    this->admit();
    BOOST_TEST(this->refusedOnce(Refusal::DeadlineExceeded));
}

// Guards against a refused token that loses its retry time or its trace.
BOOST_AUTO_TEST_CASE(refusedTokenTellsWhenToRetry)
{
    this->run("single");
    this->admit(Refusal::RateExceeded, 40ms);
    BOOST_TEST(this->refusedOnce(Refusal::RateExceeded));
    BOOST_TEST((this->answers[0].retryAfter == Duration(40ms)));
    const auto trace = this->traces.find(RequestId("r1"));
    BOOST_REQUIRE(trace != nullptr);
    BOOST_TEST((trace->refusal == Refusal::RateExceeded));
}

// Guards against a token that is asked for an open pool, whose callers have no organisation.
BOOST_AUTO_TEST_CASE(openPoolNeedsNoToken)
{
    this->run("public", std::nullopt);
    BOOST_TEST(this->admission.waiting.empty());
    BOOST_TEST(this->router.submitted.size() == 1U);
    this->router.end(AttemptOutcome::Unknown, Refusal::ConnectionLost);
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST((this->answers[0].refusal == Refusal::OutcomeUnknown));
    BOOST_TEST((this->answers[0].execution == Execution::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
