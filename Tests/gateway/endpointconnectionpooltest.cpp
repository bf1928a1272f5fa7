#include "gateway/endpointconnectionpool.h"

#include "core/boottimeclock.h"
#include "gateway/testpeer.h"
#include "runtime/asiotimerservice.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(EndpointConnectionPoolTest)

namespace
{

namespace http = boost::beast::http;

/// Header names of the tests' own endpoint protocol.
class TestDialect : public EndpointCodec
{
public:
    HttpRequestMessage encode(const EndpointCall &call, TimePoint /*now*/) const override
    {
        HttpRequestMessage message(http::verb::get, call.request->target, 11);
        message.set(http::field::host, "test");
        message.set("Id", call.request->attemptId);
        return message;
    }
    EndpointResponseMetadata inspect(const HttpResponseMessage &message) const override
    {
        EndpointResponseMetadata info;
        if (message.count("Id") > 0) {
            info.attemptId = std::string(message["Id"]);
        }
        info.notRun = message.count("Not-Run") > 0;
        return info;
    }
    EndpointResponse decode(HttpResponseMessage &&message) const override
    {
        EndpointResponse answer;
        answer.status = static_cast<int>(message.result_int());
        answer.body = std::move(message.body());
        return answer;
    }
};

std::string answerOf(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture
{
    void serve(TestPeer::Answer answer)
    {
        this->peer = std::make_unique<TestPeer>(this->io, std::move(answer));
        this->endpoint->record.id = EndpointId("e");
        this->endpoint->record.address = this->peer->address();
    }

    std::shared_ptr<OutgoingCall> start(const std::string &id, bool nonIdempotent = false)
    {
        const auto request = std::make_shared<CallerRequest>();
        request->attemptId = id;
        request->target = "/";
        EndpointCall call;
        call.endpoint = this->endpoint;
        call.request = request;
        call.deadline = this->clock.now() + std::chrono::seconds(1);
        call.nonIdempotent = nonIdempotent;
        call.connectionLimit = this->limit;
        return this->pool.send(call, [this](const CallOutcome &outcome) { this->outcomes.push_back(outcome); });
    }

    CallOutcome call(const std::string &id)
    {
        const std::size_t before = this->outcomes.size();
        const auto started = this->start(id);
        BOOST_REQUIRE(runUntil(this->io, [&] { return this->outcomes.size() > before; }));
        return this->outcomes.back();
    }

    boost::asio::io_context io;
    BootTimeClock clock;
    AsioTimerService timers { io };
    Counters counters;
    TestDialect codec;
    EndpointConnectionPool pool { io, clock, timers, counters, codec };
    EndpointPtr endpoint = std::make_shared<ServiceEndpoint>();
    std::unique_ptr<TestPeer> peer;
    std::vector<CallOutcome> outcomes;
    std::size_t limit = 4;
};

}

// Guards against a new connection for each request.
BOOST_FIXTURE_TEST_CASE(reusesConnections, Fixture)
{
    this->serve([](int number) { return answerOf(std::to_string(number), "body"); });
    BOOST_TEST((this->call("1").result == CallResult::Answered));
    BOOST_TEST(this->call("2").response.body == "body");
    BOOST_TEST(this->peer->connections == 1);
}

// Guards against more connections than the endpoint accepts from this instance.
BOOST_FIXTURE_TEST_CASE(keepsToTheConnectionLimit, Fixture)
{
    this->limit = 2;
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: x\r\n\r\n"); });
    for (int number = 0; number < 5; ++number) {
        this->start("x");
    }
    runFor(this->io, std::chrono::milliseconds(50));
    BOOST_TEST(this->peer->connections == 2);
    BOOST_TEST(this->pool.connectionCount() == 2U);
}

// Guards against an answer to an earlier request that is taken for the answer to the next one.
BOOST_FIXTURE_TEST_CASE(skipsAnswersOfOtherRequests, Fixture)
{
    this->serve([](int) { return answerOf("old", "wrong") + answerOf("2", "right"); });
    const CallOutcome outcome = this->call("2");
    BOOST_TEST((outcome.result == CallResult::Answered));
    BOOST_TEST(outcome.response.body == "right");
    BOOST_TEST(this->pool.connectionCount() == 0U);
}

// Guards against bytes after a whole answer that stay on the connection for the next request.
BOOST_FIXTURE_TEST_CASE(closesConnectionWithExtraBytes, Fixture)
{
    this->serve([](int number) { return answerOf(std::to_string(number), "body") + "extra"; });
    BOOST_TEST((this->call("1").result == CallResult::Answered));
    BOOST_TEST(this->pool.connectionCount() == 0U);
    BOOST_TEST((this->call("2").result == CallResult::Answered));
    BOOST_TEST(this->peer->connections == 2);
}

// Guards against a success without an id, which may be the answer to another request.
BOOST_FIXTURE_TEST_CASE(successNeedsTheId, Fixture)
{
    this->peer.reset();
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"); });
    this->peer->closeAfterAnswer = true;
    BOOST_TEST((this->call("1").result == CallResult::Lost));
}

// Guards against a truncated answer that looks whole.
BOOST_FIXTURE_TEST_CASE(truncatedAnswerIsLost, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort"); });
    this->peer->closeAfterAnswer = true;
    BOOST_TEST((this->call("1").result == CallResult::Lost));
}

// Guards against a whole answer without a length that is thrown away.
BOOST_FIXTURE_TEST_CASE(answerMayEndWithItsConnection, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nuntil the end"); });
    this->peer->closeAfterAnswer = true;
    const CallOutcome outcome = this->call("1");
    BOOST_TEST((outcome.result == CallResult::Answered));
    BOOST_TEST(outcome.response.body == "until the end");
}

// Guards against bytes that are no answer.
BOOST_FIXTURE_TEST_CASE(noiseIsLost, Fixture)
{
    this->serve([](int) { return std::string("noise\r\n\r\n"); });
    BOOST_TEST((this->call("1").result == CallResult::Lost));
}

// Guards against "lost" for a request that the endpoint says it did not run.
BOOST_FIXTURE_TEST_CASE(readsNotRun, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"); });
    BOOST_TEST((this->call("1").result == CallResult::NotRun));
}

// Guards against "may have run" for a request that never left.
BOOST_FIXTURE_TEST_CASE(refusedConnectionIsNotSent, Fixture)
{
    this->serve([](int) { return std::string(); });
    this->peer.reset();
    BOOST_TEST((this->call("1").result == CallResult::NotSent));
}

// Guards against an endpoint that works on for nobody, and against a closed connection when the answer comes in time.
BOOST_FIXTURE_TEST_CASE(releaseClosesAfterTheGrace, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: 1\r\n\r\n"); });
    const auto call = this->start("1");
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->peer->requests == 1; }));
    call->cancel(Milliseconds(20));
    runFor(this->io, std::chrono::milliseconds(5));
    BOOST_TEST(this->peer->closed == 0);
    BOOST_TEST(runUntil(this->io, [this] { return this->peer->closed == 1; }));
    BOOST_TEST(this->outcomes.empty());
}

// Guards against a request that must not run twice on a connection that the endpoint may be closing.
BOOST_FIXTURE_TEST_CASE(runsOnceAvoidsIdleConnections, Fixture)
{
    this->limit = 1;
    this->serve([](int number) { return answerOf(std::to_string(number), "body"); });
    this->call("1");
    runFor(this->io, std::chrono::milliseconds(600));
    this->start("2", true);
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->outcomes.size() == 2; }));
    BOOST_TEST((this->outcomes.back().result == CallResult::Answered));
    BOOST_TEST(this->peer->connections == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}
