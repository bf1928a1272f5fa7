#include "forwarding/fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

const std::string low = "aaaaaaaaaaaaaaaa";
const std::string middle = "mmmmmmmmmmmmmmmm";
const std::string high = "zzzzzzzzzzzzzzzz";

/// Records relay requests; the test responds to them.
class FakeRelay : public ShardRelay
{
public:
    std::optional<RelayZone> findZone(const std::vector<ServiceId> &services) const override
    {
        if (services.size() < 2) {
            return std::nullopt;
        }
        return RelayZone { ZoneId("elsewhere"), 1, services };
    }
    std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> &services) override
    {
        this->offeredServices = services;
        const auto zone = this->findZone(services);
        if (!zone) {
            return std::nullopt;
        }
        return RelayTarget { InstanceId("far"), "peer-far", zone->zone, zone->services };
    }
    std::unique_ptr<PendingRelay>
    send(const RelayTarget & /*target*/, const AdmittedRequest & /*request*/, ResponseCallback callback) override
    {
        this->responseCallback = std::move(callback);
        return std::make_unique<PendingRelay>();
    }
    void handleTimeout(const InstanceId & /*instance*/) override
    {
        ++this->timeouts;
    }

    std::vector<ServiceId> offeredServices;
    ResponseCallback responseCallback;
    int timeouts = 0;
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
            this->tableContent.services.push_back(spec);
            this->route.shards.emplace_back(service);
        }
    }

    ~RelayFixture()
    {
        this->finishAllRequests();
    }

    /// Adds endpoints to the shard "far1" and fills its retry budget, so that the route's limit alone bounds its
    /// attempts.
    void allowManyAttemptsAtFar1()
    {
        for (const char *id : { "far1b", "far1c" }) {
            EndpointRecord record;
            record.id = EndpointId(id);
            record.service = ServiceId("far1");
            record.zone = ZoneId("there");
            this->endpoints.addOrUpdate(record, this->clock.now());
        }
        this->fillBudgetOf("far1");
    }

    int attemptsAt(const std::string &service) const
    {
        return static_cast<int>(
            std::count_if(this->endpointSender.calls.begin(), this->endpointSender.calls.end(), [&](const auto &call) {
                return call->call.endpoint->record.service == ServiceId(service);
            }));
    }

    void refuseRelay()
    {
        RelayResponse refusal;
        refusal.isFinal = true;
        refusal.isRefused = true;
        this->relay.responseCallback(refusal);
    }

    void respondFromLocalShards()
    {
        this->call(0).finish(CallResult::Answered, 200, low);
        this->call(1).finish(CallResult::Answered, 200, low);
    }

    static RelayResponse
    makeRelayResponse(std::vector<RelayResponse::Shard> shards, const std::string &records, bool isFinal)
    {
        RelayResponse response;
        response.shards = std::move(shards);
        response.records = records;
        response.isFinal = isFinal;
        return response;
    }

    FakeRelay relay;
};

}

BOOST_FIXTURE_TEST_SUITE(ShardRelayTest, RelayFixture)

// Guards against a separate request to another zone for each shard, and against relaying the requests of shards that
// have an endpoint in this zone.
BOOST_AUTO_TEST_CASE(relaysOnlyRemoteShards)
{
    this->start();
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
    BOOST_TEST((this->relay.offeredServices == std::vector<ServiceId> { ServiceId("far1"), ServiceId("far2") }));
    this->relay.responseCallback(
        makeRelayResponse({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, high + middle, true));
    this->respondFromLocalShards();
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->signatures.size() == 4U);
    BOOST_TEST((this->replies[0].merged()->body == high + middle + low));
}

// Guards against a query for few records that holds all records of its direct shards while other shards are relayed,
// and against counting a shard twice that responds directly and through the relaying instance.
BOOST_AUTO_TEST_CASE(keepsFewRecordsWhileShardsAreRelayed)
{
    constexpr std::size_t kibibyte = 1024;
    this->route.maxRecords = 3;
    this->fillBudgetOf("far1");
    this->start();
    this->call(0).finish(CallResult::Answered, 200, high + std::string(300 * kibibyte, 'a'));
    BOOST_TEST(this->responseMemory->totalBytes() <= kibibyte);
    this->call(1).finish(CallResult::Answered, 200, low);
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->endpointSender.calls.size() > 2U);
    BOOST_REQUIRE((this->call(2).call.endpoint->record.service == ServiceId("far1")));
    this->call(2).finish(CallResult::Answered, 200, middle);
    this->relay.responseCallback(
        makeRelayResponse({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, middle + low, true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 0U);
    BOOST_TEST((this->replies[0].merged()->body == high + middle + low));
}

// Guards against a query that waits for a failed relaying instance, and against hedges of its shards beyond the retry
// budget.
BOOST_AUTO_TEST_CASE(hedgesWithinBudgetAfterRelayTimeout)
{
    this->start();
    this->respondFromLocalShards();
    this->clock.advance(Milliseconds(30));
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
    this->fillBudgetOf("far1");
    this->clock.advance(Milliseconds(30));
    BOOST_TEST(this->relay.timeouts == 1);
    BOOST_REQUIRE(this->endpointSender.calls.size() == 3U);
    BOOST_TEST((this->call(2).call.endpoint->record.service == ServiceId("far1")));
}

// Guards against more attempts at a shard than the route allows: the relaying instance may already have made all but
// one of them.
BOOST_AUTO_TEST_CASE(makesSingleDirectAttemptBesidesRelay)
{
    EndpointRecord second;
    second.id = EndpointId("far1b");
    second.service = ServiceId("far1");
    second.zone = ZoneId("there");
    this->endpoints.addOrUpdate(second, this->clock.now());
    this->fillBudgetOf("far1");
    this->start();
    this->respondFromLocalShards();
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 3U);
    this->call(2).finish(CallResult::Lost);
    this->clock.advance(Milliseconds(80));
    BOOST_TEST(this->endpointSender.calls.size() == 3U);
}

// Guards against a query that waits for its deadline although neither instance has a request in flight to the missing
// shard any more.
BOOST_AUTO_TEST_CASE(refusesWhenNoResponseIsPending)
{
    this->fillBudgetOf("far1");
    this->start();
    this->respondFromLocalShards();
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->endpointSender.calls.size() == 3U);
    this->call(2).finish(CallResult::Lost);
    BOOST_TEST(this->replies.empty());
    this->relay.responseCallback(makeRelayResponse({ { ServiceId("far2"), "s2" } }, middle, true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown));
}

// Guards against relayed shards that cannot be hedged for lack of retry budget: the requesting instance records their
// first attempts, which fill the budget.
BOOST_AUTO_TEST_CASE(relayedFirstAttemptsFillRetryBudget)
{
    for (int sent = 0; sent < 8; ++sent) {
        this->start();
        this->relay.responseCallback(
            makeRelayResponse({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, high, true));
    }
    BOOST_TEST(this->retryBudget.tryAcquire(ServiceId("far1")));
}

// Guards against duplicate records when a shard responds directly as well as through the relaying instance.
BOOST_AUTO_TEST_CASE(lateRelayResponseReplacesDirectResponses)
{
    this->fillBudget();
    this->fillBudgetOf("far1");
    this->start();
    this->clock.advance(Milliseconds(60));
    this->respondFromLocalShards();
    this->call(2).finish(CallResult::Answered, 200, high);
    BOOST_TEST(this->replies.empty());
    this->relay.responseCallback(
        makeRelayResponse({ { ServiceId("far1"), "s1" }, { ServiceId("far2"), "s2" } }, high + middle, true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->signatures.size() == 4U);
    BOOST_TEST((this->replies[0].merged()->body == high + middle + low));
}

// Guards against merging responses of an instance with another route table version, and against missing shards when the
// relaying instance refuses the request for that or another reason.
BOOST_AUTO_TEST_CASE(callsShardsDirectlyAfterRelayRefusal)
{
    this->start();
    this->refuseRelay();
    BOOST_TEST(this->endpointSender.calls.size() == 4U);
    BOOST_TEST(this->relay.timeouts == 0);
}

// Guards against a shard that runs on more endpoints than the route allows: the refusal arrives while the hedge that
// was sent after the relay timeout is in flight.
BOOST_AUTO_TEST_CASE(countsHedgeInFlightAfterLateRelayRefusal)
{
    this->allowManyAttemptsAtFar1();
    this->start();
    this->respondFromLocalShards();
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->attemptsAt("far1") == 1);
    this->refuseRelay();
    this->clock.advance(Milliseconds(300));
    BOOST_TEST(this->attemptsAt("far1") == this->route.maxAttempts);
    BOOST_TEST(this->attemptsAt("far2") == 1);
}

// Guards against a shard that runs on more endpoints than the route allows: the hedge has already failed when the
// refusal arrives.
BOOST_AUTO_TEST_CASE(countsFailedHedgeAfterLateRelayRefusal)
{
    this->allowManyAttemptsAtFar1();
    this->start();
    this->respondFromLocalShards();
    this->clock.advance(Milliseconds(60));
    BOOST_REQUIRE(this->attemptsAt("far1") == 1);
    this->call(2).finish(CallResult::Lost);
    this->refuseRelay();
    for (std::size_t number = 3; number < this->endpointSender.calls.size(); ++number) {
        this->call(number).finish(CallResult::Lost);
    }
    this->clock.advance(Milliseconds(300));
    BOOST_TEST(this->attemptsAt("far1") == this->route.maxAttempts);
}

// Guards against endpoints that keep working after the reply: a hedge that was in flight when the refusal arrived.
BOOST_AUTO_TEST_CASE(cancelsAllCallsOfShardAfterLateRelayRefusal)
{
    this->route.minShardRatio = 0.75;
    this->allowManyAttemptsAtFar1();
    this->start();
    this->respondFromLocalShards();
    this->clock.advance(Milliseconds(60));
    this->refuseRelay();
    this->call(this->endpointSender.calls.size() - 1).finish(CallResult::Answered, 200, high);
    this->clock.advance(Milliseconds(300));
    BOOST_REQUIRE(this->replies.size() == 1U);
    for (const auto &call : this->endpointSender.calls) {
        BOOST_TEST((call->cancelled || !call->done));
    }
}

// Guards against waiting for shards that the final relay response does not contain, and against treating a relaying
// instance as timed out although it has sent a first response.
BOOST_AUTO_TEST_CASE(shardsNotInFinalRelayResponseAreMissing)
{
    this->route.minShardRatio = 0.5;
    this->start();
    this->relay.responseCallback(makeRelayResponse({ { ServiceId("far1"), "s1" } }, high, false));
    this->clock.advance(Milliseconds(60));
    BOOST_TEST(this->relay.timeouts == 0);
    this->respondFromLocalShards();
    BOOST_TEST(this->replies.empty());
    this->relay.responseCallback(makeRelayResponse({}, "", true));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
