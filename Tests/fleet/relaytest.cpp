#include "fleet/datagramkind.h"
#include "fleet/relayclient.h"
#include "fleet/relayserver.h"
#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

/// Records the datagrams sent.
class FakeSender : public DatagramSender
{
public:
    void send(const std::string &address, const std::string &bytes) override
    {
        this->sent.emplace_back(address, bytes);
    }
    /// The last datagram without its kind.
    std::string lastPayload() const
    {
        return this->sent.back().second.substr(1);
    }
    std::vector<std::pair<std::string, std::string>> sent;
};

/// A requesting instance in zone "near" and a relaying instance in zone "here", where the endpoints are.
struct RelayPair : public ForwardingFixture
{
    RelayPair()
    {
        this->routeToShards(1);
        this->forwarder.setTable(this->table());
        GossipMessage message;
        message.instance = InstanceId("other");
        message.incarnation = 1;
        message.state = MemberState::Ready;
        message.zone = ZoneId("here");
        message.peerAddress = "peer-other";
        this->members.update(message);
    }

    ~RelayPair()
    {
        this->finishAllRequests();
    }

    std::unique_ptr<PendingRelay> sendRequest()
    {
        AdmittedRequest admitted;
        admitted.table = this->forwarder.table();
        admitted.route = &admitted.table->routes().front();
        const auto sent = request(this->clock.now());
        sent->apiKey = "secret-key";
        admitted.request = sent;
        admitted.organisation = OrganisationId("org");
        admitted.deadline = this->clock.now() + Milliseconds(1000);
        const auto target = this->client.selectTarget(admitted.route->shards);
        BOOST_REQUIRE(target);
        return this->client.send(
            *target, admitted, [this](const RelayResponse &response) { this->responses.push_back(response); });
    }

    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
    MemberTable members { clock, InstanceId("self"), ZoneId("z") };
    FakeSender sender;
    InstanceInfo own;
    ActiveInstanceSet activeInstances { members, own };
    RelayClient client { { clock, counters, random, sender, activeInstances, endpoints }, "peer-self", ZoneId("near") };
    RelayServer server { context, forwarder, sender };
    std::vector<RelayResponse> responses;
};

}

BOOST_FIXTURE_TEST_SUITE(RelayTest, RelayPair)

// Guards against shard responses that are lost or changed by the relay, and against an API key that is sent to another
// instance.
BOOST_AUTO_TEST_CASE(relaysShardResponses)
{
    const auto pending = this->sendRequest();
    BOOST_REQUIRE(this->sender.sent.size() == 1U);
    BOOST_TEST(this->sender.sent[0].first == "peer-other");
    BOOST_TEST(this->sender.lastPayload().find("secret-key") == std::string::npos);
    this->server.handleRequest(this->sender.lastPayload());
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    BOOST_TEST(this->call(0).call.request->attemptId == "id");
    BOOST_TEST((this->call(0).call.organisation == OrganisationId("org")));
    this->call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
    this->call(1).finish(CallResult::Answered, 200, "zzzzzzzzzzzzzzzz");
    BOOST_TEST(this->sender.sent.back().first == "peer-self");
    this->client.handleResponse(this->sender.lastPayload());
    BOOST_REQUIRE(this->responses.size() == 1U);
    BOOST_TEST(this->responses[0].isFinal);
    BOOST_TEST(this->responses[0].shards.size() == 2U);
    BOOST_TEST(this->responses[0].records == "zzzzzzzzzzzzzzzzaaaaaaaaaaaaaaaa");
}

// Guards against shard responses that use up memory while they wait for further shards, and against losing them.
BOOST_AUTO_TEST_CASE(sendsShardResponsesEarlyWhenMemoryIsShort)
{
    this->responseMemory->setLimits({ 100, 100 });
    const auto pending = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(0).finish(CallResult::Answered, 200, std::string(160, 'a'));
    this->client.handleResponse(this->sender.lastPayload());
    BOOST_REQUIRE(this->responses.size() == 1U);
    BOOST_TEST(!this->responses[0].isFinal);
    BOOST_TEST(this->responses[0].shards.size() == 1U);
    BOOST_TEST(this->responses[0].records == std::string(48, 'a'));
    BOOST_TEST(this->responseMemory->totalBytes() == 0U);
    this->call(1).finish(CallResult::Answered, 200, "zzzzzzzzzzzzzzzz");
    this->client.handleResponse(this->sender.lastPayload());
    BOOST_REQUIRE(this->responses.size() == 2U);
    BOOST_TEST(this->responses[1].isFinal);
    BOOST_TEST(this->responses[1].records == "zzzzzzzzzzzzzzzz");
}

// Guards against a reply that merges shard responses of two versions of the route table.
BOOST_AUTO_TEST_CASE(refusesRequestForOtherRouteTableVersion)
{
    const auto pending = this->sendRequest();
    const std::string relayRequest = this->sender.lastPayload();
    RouteTableContent newer = this->tableContent;
    newer.version = 2;
    newer.routes.push_back(this->route);
    this->forwarder.setTable(RouteTable::create(newer).value());
    this->server.handleRequest(relayRequest);
    BOOST_TEST(this->endpointSender.calls.empty());
    this->client.handleResponse(this->sender.lastPayload());
    BOOST_REQUIRE(this->responses.size() == 1U);
    BOOST_TEST(this->responses[0].isRefused);
}

// Guards against endpoints that keep working on a request after the caller has disconnected.
BOOST_AUTO_TEST_CASE(cancellationStopsEndpoints)
{
    auto pending = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    pending.reset();
    BOOST_TEST(this->sender.sent.back().second.substr(0, 1) == DatagramKind::relayCancel);
    this->server.handleCancel(this->sender.lastPayload());
    BOOST_TEST(this->call(0).cancelled);
    BOOST_TEST(this->call(1).cancelled);
}

// Guards against a shard that runs on more endpoints than the route allows because the network delivers a relay request
// twice, before or after its end.
BOOST_AUTO_TEST_CASE(handlesDuplicatedRequestOnce)
{
    const auto pending = this->sendRequest();
    const std::string relayRequest = this->sender.lastPayload();
    this->server.handleRequest(relayRequest);
    this->server.handleRequest(relayRequest);
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
    this->call(1).finish(CallResult::Answered, 200, "zzzzzzzzzzzzzzzz");
    this->server.handleRequest(relayRequest);
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
}

// Guards against endpoints that run a request whose caller has left: the cancellation overtook the relay request.
BOOST_AUTO_TEST_CASE(ignoresRequestAfterItsCancellation)
{
    auto pending = this->sendRequest();
    const std::string relayRequest = this->sender.lastPayload();
    pending.reset();
    this->server.handleCancel(this->sender.lastPayload());
    this->server.handleRequest(relayRequest);
    BOOST_TEST(this->endpointSender.calls.empty());
}

// Guards against memory that grows with each relay request.
BOOST_AUTO_TEST_CASE(forgetsRequestsAfterDuplicatesCanArrive)
{
    const auto pending = this->sendRequest();
    const std::string relayRequest = this->sender.lastPayload();
    this->server.handleRequest(relayRequest);
    BOOST_TEST(this->server.rememberedRequests() == 1U);
    this->clock.advance(std::chrono::seconds(10));
    const auto next = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    BOOST_TEST(this->server.rememberedRequests() == 1U);
}

// Guards against a requesting instance that mistakes a slow shard for a relaying instance that does not respond.
BOOST_AUTO_TEST_CASE(sendsPartialResponseWhenShardIsSlow)
{
    const auto pending = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    this->call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
    this->clock.advance(Milliseconds(45));
    this->client.handleResponse(this->sender.lastPayload());
    BOOST_REQUIRE(this->responses.size() == 1U);
    BOOST_TEST(!this->responses[0].isFinal);
    BOOST_TEST(this->responses[0].shards.size() == 1U);
}

// Guards against relayed shards that are sent to an endpoint that leaves or wants no requests.
BOOST_AUTO_TEST_CASE(relayedShardAvoidsEndpointThatWantsNone)
{
    this->endpoints.find(EndpointId("s1a"))->leaving = true;
    this->endpoints.find(EndpointId("s2a"))->backoff.start(std::chrono::seconds(60), this->clock.now());
    const auto pending = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    BOOST_TEST(this->call(0).call.endpoint->record.id.value() == "s1b");
    BOOST_TEST(this->call(1).call.endpoint->record.id.value() == "s2b");
}

// Guards against more attempts per shard than the route allows: the requesting instance makes the last attempt.
BOOST_AUTO_TEST_CASE(reservesLastAttemptForRequestingInstance)
{
    this->fillBudget();
    const auto pending = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
}

// Guards against endpoints that keep working on a request beyond its deadline.
BOOST_AUTO_TEST_CASE(cancelsCallsAtDeadline)
{
    const auto pending = this->sendRequest();
    this->server.handleRequest(this->sender.lastPayload());
    this->clock.advance(Milliseconds(1100));
    BOOST_TEST(this->call(0).cancelled);
}

// Guards against relay requests to an instance that recently did not respond on time.
BOOST_AUTO_TEST_CASE(avoidsInstanceAfterTimeout)
{
    BOOST_TEST(this->client.selectTarget(this->route.shards).has_value());
    this->client.handleTimeout(InstanceId("other"));
    BOOST_TEST(!this->client.selectTarget(this->route.shards).has_value());
    this->clock.advance(Milliseconds(1100));
    BOOST_TEST(this->client.selectTarget(this->route.shards).has_value());
}

// Guards against a datagram that ends the process: the parser recurses for each level of nesting, so that a deeply
// nested one exhausts the stack.
BOOST_AUTO_TEST_CASE(rejectsDeeplyNestedDatagrams)
{
    const char listOfOne = '\x81';
    const std::string nested = std::string(65'000, listOfOne) + '\0';
    this->server.handleRequest(nested);
    this->server.handleCancel(nested);
    this->client.handleResponse(nested);
    BOOST_TEST(!decodeGossipMessage(nested));
    BOOST_TEST(this->counters.value("lycheewall_fleet_bad_messages_total{reason=\"not-cbor\"}") == 3U);
}

// Guards against malformed datagrams that crash an instance or are not counted.
BOOST_AUTO_TEST_CASE(countsMalformedDatagrams)
{
    this->server.handleRequest("garbage");
    this->server.handleCancel("garbage");
    this->client.handleResponse("\xa0");
    BOOST_TEST(this->counters.value("lycheewall_fleet_bad_messages_total{reason=\"not-cbor\"}") == 2U);
    BOOST_TEST(this->counters.value("lycheewall_fleet_bad_messages_total{reason=\"field-missing\"}") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
