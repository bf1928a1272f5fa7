#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

const std::string low = "aaaaaaaaaaaaaaaa";
const std::string middle = "mmmmmmmmmmmmmmmm";
const std::string high = "zzzzzzzzzzzzzzzz";

/// Keeps questions; the test answers them.
class FakeRelay : public ShardRelay
{
public:
    std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> &services) override
    {
        this->offered = services;
        if (services.size() < 2) {
            return std::nullopt;
        }
        return RelayTarget { InstanceId("far"), "peer-far", ZoneId("elsewhere"), services };
    }
    std::unique_ptr<PendingRelay>
    send(const RelayTarget & /*target*/, const AdmittedRequest & /*request*/, ResponseCallback callback) override
    {
        this->answered = std::move(callback);
        return std::make_unique<PendingRelay>();
    }
    void handleTimeout(const InstanceId & /*instance*/) override
    {
        ++this->silences;
    }

    std::vector<ServiceId> offered;
    ResponseCallback answered;
    int silences = 0;
};

struct RelayFixture : public ForwardingFixture
{
    RelayFixture()
    {
        this->context.relay = &this->relay;
        this->routeToShards(1);
        for (const char *service : { "far1", "far2" }) {
            EndpointRecord record;
            record.id = EndpointId(std::string(service) + "a");
            record.service = ServiceId(service);
            record.zone = ZoneId("there");
            this->endpoints.addOrUpdate(record, this->clock.now());
            ServiceSpec spec;
            spec.id = ServiceId(service);
            spec.maxConnections = 10;
            this->content.services.push_back(spec);
            this->route.shards.emplace_back(service);
        }
    }

    ~RelayFixture()
    {
        this->endAll();
    }

    void answerNearParts()
    {
        this->call(0).finish(CallResult::Answered, 200, low);
        this->call(1).finish(CallResult::Answered, 200, low);
    }

    static RelayResponse answerOf(std::vector<RelayResponse::Shard> parts, const std::string &records, bool isLast)
    {
        RelayResponse answer;
        answer.shards = std::move(parts);
        answer.records = records;
        answer.isFinal = isLast;
        return answer;
    }

    FakeRelay relay;
};

}

BOOST_FIXTURE_TEST_SUITE(ShardRelayTest, RelayFixture)

// Guards against parts that cross the zones one by one, and against near parts that take the long way.
BOOST_AUTO_TEST_CASE(onlyFarPartsAreRelayed)
{
    this->start();
    BOOST_TEST(this->caller.calls.size() == 2U);
    BOOST_TEST((this->relay.offered == std::vector<ServiceId> { ServiceId("far1"), ServiceId("far2") }));
    this->relay.answered(answerOf({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, high + middle, true));
    this->answerNearParts();
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->signatures.size() == 4U);
    BOOST_TEST((this->replies[0].merged->body == high + middle + low));
}

// Guards against a query that waits for a dead instance, and against second sends beyond the budget for it.
BOOST_AUTO_TEST_CASE(silentRelayIsReplacedWithinTheBudget)
{
    this->start();
    this->answerNearParts();
    this->clock.advance(Milliseconds(30));
    BOOST_TEST(this->caller.calls.size() == 2U);
    for (int sent = 0; sent < 100; ++sent) {
        this->retryBudget.recordFirstAttempt(ServiceId("far1"));
    }
    this->clock.advance(Milliseconds(30));
    BOOST_TEST(this->relay.silences == 1);
    BOOST_REQUIRE(this->caller.calls.size() == 3U);
    BOOST_TEST((this->call(2).call.endpoint->record.service == ServiceId("far1")));
}

// Guards against more endpoints of a shard than the route allows: the other instance may have asked all but one of
// them.
BOOST_AUTO_TEST_CASE(asksOnlyOneEndpointBesideTheRelay)
{
    EndpointRecord second;
    second.id = EndpointId("far1b");
    second.service = ServiceId("far1");
    second.zone = ZoneId("there");
    this->endpoints.addOrUpdate(second, this->clock.now());
    for (int sent = 0; sent < 100; ++sent) {
        this->retryBudget.recordFirstAttempt(ServiceId("far1"));
    }
    this->start();
    this->answerNearParts();
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->caller.calls.size() == 3U);
    this->call(2).finish(CallResult::Lost);
    this->clock.advance(Milliseconds(80));
    BOOST_TEST(this->caller.calls.size() == 3U);
}

// Guards against a query that waits for its deadline although neither instance can get the missing part any more.
BOOST_AUTO_TEST_CASE(givesUpWhenNothingCanComeAnyMore)
{
    for (int sent = 0; sent < 100; ++sent) {
        this->retryBudget.recordFirstAttempt(ServiceId("far1"));
    }
    this->start();
    this->answerNearParts();
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->caller.calls.size() == 3U);
    this->call(2).finish(CallResult::Lost);
    BOOST_TEST(this->replies.empty());
    this->relay.answered(answerOf({ { ServiceId("far2"), "s2" } }, middle, true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal == Refusal::OutcomeUnknown));
}

// Guards against second attempts that are missing for relayed parts: the asking instance earns their budget.
BOOST_AUTO_TEST_CASE(askingInstanceEarnsTheBudget)
{
    for (int sent = 0; sent < 8; ++sent) {
        this->start();
        this->relay.answered(answerOf({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, high, true));
    }
    BOOST_TEST(this->retryBudget.tryAcquire(ServiceId("far1")));
}

// Guards against records that count twice because a part came directly and through the other instance.
BOOST_AUTO_TEST_CASE(lateRelayAnswerReplacesDirectParts)
{
    this->earnBudget();
    for (int sent = 0; sent < 100; ++sent) {
        this->retryBudget.recordFirstAttempt(ServiceId("far1"));
    }
    this->start();
    this->clock.advance(Milliseconds(60));
    this->answerNearParts();
    this->call(2).finish(CallResult::Answered, 200, high);
    BOOST_TEST(this->replies.empty());
    this->relay.answered(answerOf({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, high + middle, true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->signatures.size() == 4U);
    BOOST_TEST((this->replies[0].merged->body == high + middle + low));
}

// Guards against parts of another version, and against lost parts when the other instance cannot help.
BOOST_AUTO_TEST_CASE(refusedQuestionIsAskedDirectly)
{
    this->start();
    RelayResponse refusal;
    refusal.isFinal = true;
    refusal.isRefused = true;
    this->relay.answered(refusal);
    BOOST_TEST(this->caller.calls.size() == 4U);
    BOOST_TEST(this->relay.silences == 0);
}

// Guards against waiting for parts that will not come, and for a relay that has said that it is at work.
BOOST_AUTO_TEST_CASE(partsThatWillNotComeAreMissing)
{
    this->route.minShardRatio = 0.5;
    this->start();
    this->relay.answered(answerOf({ { ServiceId("far1"), "s1" } }, high, false));
    this->clock.advance(Milliseconds(60));
    BOOST_TEST(this->relay.silences == 0);
    this->answerNearParts();
    BOOST_TEST(this->replies.empty());
    this->relay.answered(answerOf({}, "", true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged->missingShards == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
