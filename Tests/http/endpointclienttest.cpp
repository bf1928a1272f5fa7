#include "http/endpointclient.h"

#include "core/boottimeclock.h"
#include "testserver.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
namespace http = boost::beast::http;

namespace
{

const EndpointId endpoint("e-1");

TestResponse answer(const std::string &body = R"({"documents": 3, "note": "\"result\":[0]", "result": [1, "}"]})")
{
    TestResponse response(http::status::ok, 11);
    response.set("Lycheewall-Snapshot", "7");
    response.set("Lycheewall-Shard", "g-1");
    response.set("Lycheewall-Incarnation", "run-1");
    response.body() = body;
    return response;
}

TestResponse notRun(const std::string &reason)
{
    TestResponse response(http::status::service_unavailable, 11);
    response.set("Lycheewall-Not-Run", reason);
    return response;
}

struct Fixture
{
    Fixture()
        : first(Worker::create())
        , second(Worker::create())
        , client(std::make_unique<EndpointClient>(std::vector<Worker *> { first.get(), second.get() }, clock, counters))
    {
    }
    ~Fixture()
    {
        this->client.reset();
    }
    void serve(const TestServer &server)
    {
        this->client->setAddress(endpoint, "127.0.0.1", server.port);
    }
    static EndpointRequest request(std::uint64_t attempt, Duration remaining = std::chrono::seconds(3))
    {
        EndpointRequest made;
        made.attempt = AttemptId(attempt);
        made.request = RequestId("q-1");
        made.organisation = OrganisationId("school");
        made.group = GroupId("g-1");
        made.snapshot = SnapshotVersion(7);
        made.remaining = remaining;
        made.body = "{}";
        return made;
    }
    std::future<EndpointAnswer> start(const EndpointRequest &made, int budget = 4)
    {
        auto promise = std::make_shared<std::promise<EndpointAnswer>>();
        this->client->start(
            endpoint, made, budget, [promise](EndpointAnswer result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }
    EndpointAnswer ask(const EndpointRequest &made, int budget = 4)
    {
        auto result = this->start(made, budget);
        BOOST_REQUIRE(result.wait_for(std::chrono::seconds(8)) == std::future_status::ready);
        return result.get();
    }
    void expect(const EndpointAnswer &result, AttemptOutcome outcome, Refusal reason)
    {
        BOOST_TEST((result.outcome == outcome));
        BOOST_TEST(refusalCode(result.reason) == refusalCode(reason));
    }

    BootTimeClock clock;
    Counters counters;
    std::unique_ptr<Worker> first;
    std::unique_ptr<Worker> second;
    std::unique_ptr<EndpointClient> client;
};

void pause(Duration time)
{
    boost::this_fiber::sleep_for(time);
}

}

BOOST_FIXTURE_TEST_SUITE(EndpointClientTest, Fixture)

// Guards against a request without the headers of the protocol, and against an answer whose parts are mixed up.
BOOST_AUTO_TEST_CASE(answeredCarriesThePartsOfTheAnswer)
{
    TestRequest seen;
    TestServer server([&](const TestRequest &got) {
        seen = got;
        return answer();
    });
    this->expect(this->ask(request(1)), AttemptOutcome::NotRun, Refusal::EndpointUnavailable);
    this->serve(server);
    const EndpointAnswer result = this->ask(request(41));
    this->expect(result, AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(result.documents == 3U);
    BOOST_TEST(result.body == R"( [1, "}"])");
    BOOST_TEST(result.snapshot.value() == 7U);
    BOOST_TEST(result.group.value() == "g-1");
    BOOST_TEST(result.incarnation.value() == "run-1");
    BOOST_TEST((result.serviceTime > Duration::zero()));
    BOOST_TEST(seen.target() == "/run");
    BOOST_TEST(seen["Lycheewall-Request"] == "q-1");
    BOOST_TEST(seen["Lycheewall-Attempt"] == "41");
    BOOST_TEST(seen["Lycheewall-Organisation"] == "school");
    BOOST_TEST(seen["Lycheewall-Snapshot"] == "7");
    BOOST_TEST(seen["Lycheewall-Shard"] == "g-1");
    BOOST_TEST(std::stoi(std::string(seen["Lycheewall-Deadline-Ms"])) > 2000);
    this->ask(request(42));
    BOOST_TEST(server.accepted == 1);
    EndpointRequest injected = request(43);
    injected.request = RequestId("q\r\nLycheewall-Organisation: other");
    this->expect(this->ask(injected), AttemptOutcome::NotRun, Refusal::BadRequest);
}

// Guards against calling a request not run that may have run, and the reverse.
BOOST_AUTO_TEST_CASE(eachResponseHasItsOutcome)
{
    std::optional<TestResponse> next;
    TestServer server([&](const TestRequest &) { return next; });
    this->serve(server);
    const std::map<std::string, Refusal> reasons { { "shed", Refusal::EndpointShed },
                                                   { "draining", Refusal::EndpointDraining },
                                                   { "version", Refusal::SnapshotUnavailable },
                                                   { "cold", Refusal::EndpointCold },
                                                   { "connections", Refusal::EndpointConnectionCap } };
    for (const auto &[code, reason] : reasons) {
        next = notRun(code);
        this->expect(this->ask(request(1)), AttemptOutcome::NotRun, reason);
    }
    std::vector<TestResponse> unknown { TestResponse(http::status::service_unavailable, 11),
                                        TestResponse(http::status::internal_server_error, 11) };
    for (const char *body : { "", "[]", "{\"documents\":1}", "{\"documents\":-1,\"result\":[]}", "{\"result\":[]}" }) {
        unknown.push_back(answer(body));
    }
    unknown.push_back(answer("{\"documents\":1,\"result\":" + std::string(100000, '[')));
    for (const TestResponse &response : unknown) {
        next = response;
        this->expect(this->ask(request(2)), AttemptOutcome::Unknown, Refusal::OutcomeUnknown);
    }
    next = answer(std::string(5 * 1024 * 1024, ' '));
    this->expect(this->ask(request(3)), AttemptOutcome::Unknown, Refusal::ConnectionLost);
    next = std::nullopt;
    this->expect(this->ask(request(4)), AttemptOutcome::Unknown, Refusal::ConnectionLost);
    server.stop();
    this->expect(this->ask(request(5)), AttemptOutcome::NotRun, Refusal::EndpointUnavailable);
}

// Guards against more connections than the budget, counted at the server, while attempts run on two workers.
BOOST_AUTO_TEST_CASE(connectionsStayWithinTheBudget)
{
    TestServer server([](const TestRequest &) {
        pause(Milliseconds(3));
        return answer();
    });
    this->serve(server);
    std::vector<std::future<EndpointAnswer>> results;
    int answered = 0;
    int refused = 0;
    for (int round = 0; round < 200; ++round) {
        for (int attempt = 0; attempt < 8; ++attempt) {
            auto made = request(static_cast<std::uint64_t>(round * 8 + attempt));
            made.idempotent = attempt % 2 == 0;
            results.push_back(this->start(made, 3));
        }
        std::this_thread::sleep_for(Milliseconds(1));
    }
    for (auto &result : results) {
        BOOST_REQUIRE(result.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
        const EndpointAnswer got = result.get();
        answered += got.outcome == AttemptOutcome::Answered ? 1 : 0;
        refused += got.reason == Refusal::EndpointConnectionCap ? 1 : 0;
    }
    BOOST_TEST(answered > 0);
    BOOST_TEST(refused > 0);
    BOOST_TEST(answered + refused == 1600);
    BOOST_TEST(server.mostOpen <= 3);
    BOOST_TEST(this->client->openConnections(endpoint) <= 3);
}

// Guards against a request that ends as unknown because the endpoint had closed the idle connection, and against a
// request that must not be repeated on a connection that nothing was heard from for 500 ms.
BOOST_AUTO_TEST_CASE(closedAndOldIdleConnectionsAreNotUsed)
{
    TestServer server([](const TestRequest &) { return answer(); });
    this->serve(server);
    auto once = request(1);
    once.idempotent = false;
    this->expect(this->ask(once, 1), AttemptOutcome::Answered, Refusal::None);
    this->expect(this->ask(once, 1), AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(server.accepted == 1);
    server.dropAll();
    BOOST_TEST(waitUntil([&] { return this->client->openConnections(endpoint) == 0; }));
    for (int round = 0; round < 50; ++round) {
        this->expect(this->ask(once, 1), AttemptOutcome::Answered, Refusal::None);
        server.dropAll();
    }
    BOOST_TEST(server.accepted == 51);
    this->ask(request(2), 1);
    std::this_thread::sleep_for(Milliseconds(600));
    this->expect(this->ask(request(3), 1), AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(server.accepted == 52);
    std::this_thread::sleep_for(Milliseconds(600));
    this->expect(this->ask(once, 1), AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(server.accepted == 53);
    this->client->closeIdle(endpoint);
    BOOST_TEST(waitUntil([&] { return server.open == 0; }));
}

// Guards against idle connections that stay open for ever, or that are closed while they are still in use.
BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedAfterTheirTime)
{
    TestServer server([](const TestRequest &) { return answer(); });
    EndpointClientSettings settings;
    settings.idleFor = Milliseconds(240);
    this->client = std::make_unique<EndpointClient>(
        std::vector<Worker *> { this->first.get() }, this->clock, this->counters, settings);
    this->serve(server);
    for (std::uint64_t attempt = 0; attempt < 6; ++attempt) {
        this->expect(this->ask(request(attempt)), AttemptOutcome::Answered, Refusal::None);
        std::this_thread::sleep_for(Milliseconds(60));
    }
    BOOST_TEST(server.accepted == 1);
    BOOST_TEST(waitUntil([&] { return this->client->openConnections(endpoint) == 0 && server.open == 0; }));
}

// Guards against pooled connections that went silent being used again and again: two attempts time out, then the idle
// connections are gone and the next attempt uses a new one.
BOOST_AUTO_TEST_CASE(silenceClosesIdleConnections)
{
    std::atomic<bool> silent { false };
    TestServer server([&](const TestRequest &) {
        pause(silent ? Milliseconds(2000) : Milliseconds(20));
        return answer();
    });
    this->serve(server);
    std::vector<std::future<EndpointAnswer>> warm;
    for (std::uint64_t attempt = 0; attempt < 4; ++attempt) {
        warm.push_back(this->start(request(attempt)));
    }
    for (auto &result : warm) {
        result.get();
    }
    BOOST_TEST(this->client->openConnections(endpoint) == 4);
    silent = true;
    this->expect(this->ask(request(10, Milliseconds(50))), AttemptOutcome::Unknown, Refusal::DeadlineExceeded);
    BOOST_TEST(this->client->openConnections(endpoint) == 3);
    this->expect(this->ask(request(11, Milliseconds(50))), AttemptOutcome::Unknown, Refusal::DeadlineExceeded);
    BOOST_TEST(waitUntil([&] { return this->client->openConnections(endpoint) == 0; }));
    silent = false;
    this->expect(this->ask(request(12)), AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(server.accepted == 5);
}

// Guards against a cancel that never reaches the endpoint, that breaks the budget, or that loses the callback.
BOOST_AUTO_TEST_CASE(cancelUsesAnotherConnectionWithinTheBudget)
{
    std::atomic<bool> cancelled { false };
    TestServer server([&](const TestRequest &got) -> std::optional<TestResponse> {
        if (got.target() == "/cancel/9") {
            cancelled = true;
            return TestResponse(http::status::no_content, 11);
        }
        for (int round = 0; round < 2000 && !cancelled; ++round) {
            pause(Milliseconds(1));
        }
        return notRun("shed");
    });
    this->serve(server);
    const auto running = [&] {
        return server.requests > 0;
    };
    auto roomy = this->start(request(9), 2);
    BOOST_REQUIRE(waitUntil(running));
    this->client->cancel(endpoint, AttemptId(9));
    this->expect(roomy.get(), AttemptOutcome::NotRun, Refusal::EndpointShed);
    BOOST_TEST(cancelled.load());
    this->client->closeIdle(endpoint);
    BOOST_TEST(waitUntil([&] { return this->client->openConnections(endpoint) == 0; }));
    cancelled = false;
    server.requests = 0;
    auto tight = this->start(request(10), 1);
    BOOST_REQUIRE(waitUntil(running));
    this->client->cancel(endpoint, AttemptId(10));
    BOOST_REQUIRE(tight.wait_for(std::chrono::seconds(1)) == std::future_status::ready);
    this->expect(tight.get(), AttemptOutcome::Unknown, Refusal::Cancelled);
    BOOST_TEST(server.mostOpen <= 2);
    server.requests = 0;
    auto left = this->start(request(11));
    BOOST_REQUIRE(waitUntil(running));
    this->client.reset();
    BOOST_REQUIRE(left.wait_for(std::chrono::seconds(0)) == std::future_status::ready);
    this->expect(left.get(), AttemptOutcome::Unknown, Refusal::Cancelled);
    cancelled = true;
}

BOOST_AUTO_TEST_SUITE_END()
