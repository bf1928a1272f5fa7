#include "fleet/datagramkind.h"
#include "fleet/relayclient.h"
#include "fleet/relayserver.h"
#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

/// Keeps what was sent.
class FakeSender : public DatagramSender
{
public:
    void send(const std::string &address, const std::string &bytes) override
    {
        this->sent.emplace_back(address, bytes);
    }
    /// The last datagram without its kind.
    std::string last() const
    {
        return this->sent.back().second.substr(1);
    }
    std::vector<std::pair<std::string, std::string>> sent;
};

/// An instance in zone "near" that asks, and one in zone "here", where the endpoints are, that collects.
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
        this->endAll();
    }

    std::unique_ptr<PendingRelay> ask()
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
            *target, admitted, [this](const RelayResponse &answer) { this->answers.push_back(answer); });
    }

    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
    MemberTable members { clock, InstanceId("self") };
    FakeSender sender;
    InstanceInfo own;
    ActiveInstanceSet activeInstances { members, own };
    RelayClient client { { clock, counters, random, sender, activeInstances, endpoints }, "peer-self", ZoneId("near") };
    RelayServer server { context, forwarder, sender };
    std::vector<RelayResponse> answers;
};

}

BOOST_FIXTURE_TEST_SUITE(RelayTest, RelayPair)

// Guards against parts that are lost or changed on the way, and against a key that leaves its instance.
BOOST_AUTO_TEST_CASE(collectsPartsForAnotherInstance)
{
    const auto wait = this->ask();
    BOOST_REQUIRE(this->sender.sent.size() == 1U);
    BOOST_TEST(this->sender.sent[0].first == "peer-other");
    BOOST_TEST(this->sender.last().find("secret-key") == std::string::npos);
    this->server.handleRequest(this->sender.last());
    BOOST_REQUIRE(this->caller.calls.size() == 2U);
    BOOST_TEST(this->call(0).call.request->attemptId == "id");
    BOOST_TEST((this->call(0).call.organisation == OrganisationId("org")));
    this->call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
    this->call(1).finish(CallResult::Answered, 200, "zzzzzzzzzzzzzzzz");
    BOOST_TEST(this->sender.sent.back().first == "peer-self");
    this->client.handleResponse(this->sender.last());
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST(this->answers[0].isFinal);
    BOOST_TEST(this->answers[0].shards.size() == 2U);
    BOOST_TEST(this->answers[0].records == "zzzzzzzzzzzzzzzzaaaaaaaaaaaaaaaa");
}

// Guards against an answer whose parts come from two versions of the routes.
BOOST_AUTO_TEST_CASE(refusesOtherVersions)
{
    const auto wait = this->ask();
    const std::string question = this->sender.last();
    RouteTableContent newer = this->content;
    newer.version = 2;
    newer.routes.push_back(this->route);
    this->forwarder.setTable(RouteTable::create(newer).value());
    this->server.handleRequest(question);
    BOOST_TEST(this->caller.calls.empty());
    this->client.handleResponse(this->sender.last());
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST(this->answers[0].isRefused);
}

// Guards against endpoints that work on after the caller has left.
BOOST_AUTO_TEST_CASE(endOfTheWaitReleasesEndpoints)
{
    auto wait = this->ask();
    this->server.handleRequest(this->sender.last());
    wait.reset();
    BOOST_TEST(this->sender.sent.back().second.substr(0, 1) == DatagramKind::relayCancel);
    this->server.handleCancel(this->sender.last());
    BOOST_TEST(this->call(0).released);
    BOOST_TEST(this->call(1).released);
}

// Guards against an asking instance that takes a slow shard for a dead instance.
BOOST_AUTO_TEST_CASE(answersEarlyWhenAPartIsSlow)
{
    const auto wait = this->ask();
    this->server.handleRequest(this->sender.last());
    this->call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
    this->clock.advance(Milliseconds(45));
    this->client.handleResponse(this->sender.last());
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST(!this->answers[0].isFinal);
    BOOST_TEST(this->answers[0].shards.size() == 1U);
}

// Guards against more endpoints of a shard than the route allows: the asking instance makes the last attempt.
BOOST_AUTO_TEST_CASE(leavesTheLastAttemptToTheAskingInstance)
{
    this->earnBudget();
    const auto wait = this->ask();
    this->server.handleRequest(this->sender.last());
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(this->caller.calls.size() == 2U);
}

// Guards against endpoints that are kept busy beyond the deadline of the request.
BOOST_AUTO_TEST_CASE(givesUpAtTheDeadline)
{
    const auto wait = this->ask();
    this->server.handleRequest(this->sender.last());
    this->clock.advance(Milliseconds(1100));
    BOOST_TEST(this->call(0).released);
}

// Guards against questions to an instance that has just not answered.
BOOST_AUTO_TEST_CASE(avoidsSilentInstances)
{
    BOOST_TEST(this->client.selectTarget(this->route.shards).has_value());
    this->client.handleTimeout(InstanceId("other"));
    BOOST_TEST(!this->client.selectTarget(this->route.shards).has_value());
    this->clock.advance(Milliseconds(1100));
    BOOST_TEST(this->client.selectTarget(this->route.shards).has_value());
}

// Guards against datagrams that cannot be read.
BOOST_AUTO_TEST_CASE(countsBadDatagrams)
{
    this->server.handleRequest("garbage");
    this->server.handleCancel("garbage");
    this->client.handleResponse("\xa0");
    BOOST_TEST(this->counters.value("lycheewall_fleet_bad_messages_total{reason=\"not-cbor\"}") == 2U);
    BOOST_TEST(this->counters.value("lycheewall_fleet_bad_messages_total{reason=\"field-missing\"}") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
