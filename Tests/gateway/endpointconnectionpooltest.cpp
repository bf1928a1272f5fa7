#include "gateway/endpointconnectionpool.h"

#include "core/boottimeclock.h"
#include "gateway/rawhttpserver.h"
#include "runtime/asiotimerservice.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(EndpointConnectionPoolTest)

namespace
{

namespace http = boost::beast::http;

/// An endpoint codec with header names of its own.
class TestEndpointCodec : public EndpointCodec
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
        if (message.count("Limit") > 0) {
            info.statement.rateLimit.requestsPerSecond = std::stod(std::string(message["Limit"]));
        }
        info.statement.isLeaving = message.count("Leaving") > 0;
        if (message.count("Retry-After") > 0) {
            info.statement.retryAfter = fromSeconds(std::stod(std::string(message["Retry-After"])));
        }
        return info;
    }
    EndpointResponse decode(HttpResponseMessage &&message) const override
    {
        EndpointResponse response;
        response.status = static_cast<int>(message.result_int());
        response.body = std::move(message.body());
        return response;
    }
};

std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture
{
    void serve(RawHttpServer::ResponseFactory responseFactory)
    {
        this->server = std::make_unique<RawHttpServer>(this->io, std::move(responseFactory));
        this->endpoint->record.id = EndpointId("e");
        this->endpoint->record.address = this->server->address();
    }

    std::shared_ptr<OutgoingCall> start(const std::string &id, bool nonIdempotent = false)
    {
        return this->start(
            id, nonIdempotent, [this](const CallOutcome &outcome) { this->outcomes.push_back(outcome); });
    }

    std::shared_ptr<OutgoingCall>
    start(const std::string &id, bool nonIdempotent, const std::function<void(const CallOutcome &)> &done)
    {
        const auto request = std::make_shared<CallerRequest>();
        request->attemptId = id;
        request->target = "/";
        EndpointCall call;
        call.endpoint = this->endpoint;
        call.request = request;
        call.deadline = this->clock.now() + std::chrono::seconds(1);
        call.nonIdempotent = nonIdempotent;
        call.connectionLimit = this->connectionLimit;
        return this->pool.send(call, done);
    }

    /// Sends a request and waits for its own outcome; other calls may end meanwhile.
    CallOutcome call(const std::string &id)
    {
        std::optional<CallOutcome> own;
        const auto started = this->start(id, false, [this, &own](const CallOutcome &outcome) {
            this->outcomes.push_back(outcome);
            own = outcome;
        });
        BOOST_REQUIRE(runUntil(this->io, [&own] { return own.has_value(); }));
        return *own;
    }

    boost::asio::io_context io;
    BootTimeClock clock;
    AsioTimerService timers { io };
    Counters counters;
    Random random { 1 };
    TestEndpointCodec codec;
    EndpointStatementHandler statementHandler { clock, counters, random };
    EndpointConnectionPool pool { io, clock, timers, counters, statementHandler, codec };
    EndpointPtr endpoint = std::make_shared<ServiceEndpoint>();
    std::unique_ptr<RawHttpServer> server;
    std::vector<CallOutcome> outcomes;
    std::size_t connectionLimit = 4;
};

}

// Guards against an explanation that shows room where requests wait for a connection.
BOOST_FIXTURE_TEST_CASE(tellsWhichConnectionsAreInUse, Fixture)
{
    this->serve([](int number) { return makeResponse(std::to_string(number), "body"); });
    this->connectionLimit = 1;
    const auto first = this->start("1");
    const auto second = this->start("2");
    const ConnectionUsage busy = this->pool.usageOf(EndpointId("e"));
    BOOST_TEST(busy.open == 1U);
    BOOST_TEST(!busy.hasRoom(this->connectionLimit));
    BOOST_TEST(busy.waitingRequests > 0U);
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->outcomes.size() == 2; }));
    const ConnectionUsage idle = this->pool.usageOf(EndpointId("e"));
    BOOST_TEST(idle.idle == 1U);
    BOOST_TEST(idle.waitingRequests == 0U);
    BOOST_TEST(this->pool.usageOf(EndpointId("other")).open == 0U);
}

// Guards against opening a new connection for each request.
BOOST_FIXTURE_TEST_CASE(reusesConnections, Fixture)
{
    this->serve([](int number) { return makeResponse(std::to_string(number), "body"); });
    BOOST_TEST((this->call("1").result == CallResult::Answered));
    BOOST_TEST(this->call("2").response.body == "body");
    BOOST_TEST(this->server->connections == 1);
}

// Guards against a rate limit that is learned from successes only, that ends with a connection that is lost, or that
// stays after the endpoint has recovered.
BOOST_FIXTURE_TEST_CASE(learnsRateLimitFromResponses, Fixture)
{
    this->serve([](int number) -> std::string {
        switch (number) {
        case 1:
            return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: 1\r\nLimit: 7.5\r\nContent-Length: 0\r\n\r\n";
        case 2:
            return "this is no response\r\n\r\n";
        default:
            return makeResponse(std::to_string(number), "body");
        }
    });
    BOOST_TEST((this->call("1").result == CallResult::NotRun));
    BOOST_REQUIRE(this->endpoint->rateLimit.isLimited());
    BOOST_TEST(this->endpoint->rateLimit.requestsPerSecond() == 7.5);
    BOOST_TEST((this->call("2").result == CallResult::Lost));
    BOOST_TEST(this->endpoint->rateLimit.isLimited());
    BOOST_TEST((this->call("3").result == CallResult::Answered));
    BOOST_TEST(!this->endpoint->rateLimit.isLimited());
}

// Guards against requests that wait for a connection and are sent after the endpoint has said that it wants none.
BOOST_FIXTURE_TEST_CASE(queuedCallsAvoidEndpointThatWantsNone, Fixture)
{
    this->connectionLimit = 1;
    for (const char *field : { "Leaving: 1", "Retry-After: 30" }) {
        this->outcomes.clear();
        this->serve([field](int) {
            return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n" + std::string(field)
                + "\r\n\r\n";
        });
        this->endpoint = std::make_shared<ServiceEndpoint>();
        this->endpoint->record.id = EndpointId(field);
        this->endpoint->record.address = this->server->address();
        const auto first = this->start("1");
        const auto queued = this->start("1");
        BOOST_REQUIRE(runUntil(this->io, [&] { return this->outcomes.size() == 2; }));
        BOOST_TEST(this->server->requests == 1);
        BOOST_TEST((this->outcomes[0].result == CallResult::NotRun));
        BOOST_TEST((this->outcomes[1].result == CallResult::NotSent));
    }
}

// Guards against requests that wait for a connection and are sent after the endpoint's entry has said that it drains,
// after the entry was removed, or after the zone was evacuated: they are lost when the endpoint ends.
BOOST_FIXTURE_TEST_CASE(queuedRequestsAvoidUnavailableEndpoint, Fixture)
{
    using Change = std::function<void(ServiceEndpoint &)>;
    const std::map<std::string, Change> changes {
        { "draining",
          [](ServiceEndpoint &changed) {
              changed.record.draining = true;
          } },
        { "removed",
          [](ServiceEndpoint &changed) {
              changed.registered = false;
          } },
        { "evacuated",
          [](ServiceEndpoint &changed) {
              changed.zoneEvacuated = true;
          } },
    };
    this->connectionLimit = 1;
    for (const auto &[name, change] : changes) {
        this->outcomes.clear();
        this->endpoint = std::make_shared<ServiceEndpoint>();
        this->serve([](int number) { return makeResponse(std::to_string(number), "body"); });
        this->endpoint->record.id = EndpointId(name);
        this->start("1");
        this->start("2");
        change(*this->endpoint);
        BOOST_REQUIRE(runUntil(this->io, [this] { return this->outcomes.size() == 2; }));
        runFor(this->io, std::chrono::milliseconds(20));
        BOOST_TEST(this->server->requests <= 1, name);
        BOOST_TEST((this->outcomes.back().result == CallResult::NotSent), name);
    }
}

// Guards against a queued request that waits for an unavailable endpoint until a connection to it is free.
BOOST_FIXTURE_TEST_CASE(sweepEndsRequestsQueuedForUnavailableEndpoint, Fixture)
{
    this->connectionLimit = 1;
    this->serve([](int) { return std::string(); });
    this->start("1");
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->server->requests == 1; }));
    this->start("2");
    this->endpoint->record.draining = true;
    this->pool.closeUnusableConnections();
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->outcomes.size() == 1; }));
    BOOST_TEST((this->outcomes.front().result == CallResult::NotSent));
}

// Guards against a process that is excluded because of what the one that ran under its id before has said.
BOOST_FIXTURE_TEST_CASE(statementAppliesToProcessThatMadeIt, Fixture)
{
    this->serve([](int) { return "HTTP/1.1 200 OK\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"; });
    const EndpointPtr earlier = this->endpoint;
    const auto started = this->start("1");
    this->endpoint = std::make_shared<ServiceEndpoint>();
    this->endpoint->record = earlier->record;
    const auto next = this->start("2");
    BOOST_REQUIRE(runUntil(this->io, [&] { return this->outcomes.size() == 1; }));
    BOOST_TEST(earlier->leaving);
    BOOST_TEST(!this->endpoint->leaving);
}

// Guards against opening more connections than the endpoint accepts from this instance.
BOOST_FIXTURE_TEST_CASE(respectsConnectionLimit, Fixture)
{
    this->connectionLimit = 2;
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: x\r\n\r\n"); });
    for (int number = 0; number < 5; ++number) {
        this->start("x");
    }
    runFor(this->io, std::chrono::milliseconds(50));
    BOOST_TEST(this->server->connections == 2);
    BOOST_TEST(this->pool.connectionCount() == 2U);
}

// Guards against a late response to an earlier request being taken for the response to the current request.
BOOST_FIXTURE_TEST_CASE(skipsResponsesToOtherRequests, Fixture)
{
    this->serve([](int) { return makeResponse("old", "wrong") + makeResponse("2", "right"); });
    const CallOutcome outcome = this->call("2");
    BOOST_TEST((outcome.result == CallResult::Answered));
    BOOST_TEST(outcome.response.body == "right");
    BOOST_TEST(this->pool.connectionCount() == 0U);
}

// Guards against bytes after a complete response being parsed as the start of the next response.
BOOST_FIXTURE_TEST_CASE(closesConnectionWithExtraBytes, Fixture)
{
    this->serve([](int number) { return makeResponse(std::to_string(number), "body") + "extra"; });
    BOOST_TEST((this->call("1").result == CallResult::Answered));
    BOOST_TEST(this->pool.connectionCount() == 0U);
    BOOST_TEST((this->call("2").result == CallResult::Answered));
    BOOST_TEST(this->server->connections == 2);
}

// Guards against accepting a success response without a request id, which may belong to another request.
BOOST_FIXTURE_TEST_CASE(rejectsSuccessWithoutRequestId, Fixture)
{
    this->server.reset();
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"); });
    this->server->closeAfterResponse = true;
    BOOST_TEST((this->call("1").result == CallResult::Lost));
}

// Guards against treating a response as complete when the endpoint closes the connection before the end of the body.
BOOST_FIXTURE_TEST_CASE(reportsTruncatedResponseAsLost, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort"); });
    this->server->closeAfterResponse = true;
    BOOST_TEST((this->call("1").result == CallResult::Lost));
}

// Guards against discarding a complete response without Content-Length, whose body ends with the connection.
BOOST_FIXTURE_TEST_CASE(acceptsResponseDelimitedByClose, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nuntil the end"); });
    this->server->closeAfterResponse = true;
    const CallOutcome outcome = this->call("1");
    BOOST_TEST((outcome.result == CallResult::Answered));
    BOOST_TEST(outcome.response.body == "until the end");
}

// Guards against taking bytes that are not an HTTP response for one.
BOOST_FIXTURE_TEST_CASE(reportsInvalidHttpAsLost, Fixture)
{
    this->serve([](int) { return std::string("noise\r\n\r\n"); });
    BOOST_TEST((this->call("1").result == CallResult::Lost));
}

// Guards against a caller that waits for its deadline, or gets an invalid status, because a response whose status is
// neither final nor an expected interim one does not end the attempt.
BOOST_FIXTURE_TEST_CASE(reportsInvalidStatusAsLost, Fixture)
{
    for (const char *status : { "000", "099", "101", "104", "199", "600", "999" }) {
        this->serve([status](int) {
            return "HTTP/1.1 " + std::string(status) + " Odd\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        });
        this->endpoint = std::make_shared<ServiceEndpoint>();
        this->endpoint->record.id = EndpointId(status);
        this->endpoint->record.address = this->server->address();
        this->outcomes.clear();
        this->start("1");
        BOOST_TEST(runUntil(this->io, [this] { return !this->outcomes.empty(); }), status);
        BOOST_TEST((!this->outcomes.empty() && this->outcomes.front().result == CallResult::Lost), status);
        BOOST_TEST(this->pool.connectionCount() == 0U, status);
        this->pool.closeUnusableConnections();
    }
}

// Guards against treating an interim response that may precede any response as the end of the attempt.
BOOST_FIXTURE_TEST_CASE(skipsInterimResponses, Fixture)
{
    this->serve([](int number) {
        std::string bytes;
        for (const char *status : { "100 Continue", "102 Processing", "103 Early Hints" }) {
            bytes += "HTTP/1.1 " + std::string(status) + "\r\n\r\n";
        }
        return bytes + makeResponse(std::to_string(number), "body");
    });
    BOOST_TEST((this->call("1").result == CallResult::Answered));
    BOOST_TEST((this->call("2").result == CallResult::Answered));
    BOOST_TEST(this->server->connections == 1);
}

// Guards against the result Lost for a request of which the endpoint states that it was not run.
BOOST_FIXTURE_TEST_CASE(reportsNotRun, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"); });
    BOOST_TEST((this->call("1").result == CallResult::NotRun));
}

// Guards against reporting that a request may have run although it was never sent.
BOOST_FIXTURE_TEST_CASE(reportsNotSentWhenConnectionIsRefused, Fixture)
{
    this->serve([](int) { return std::string(); });
    this->server.reset();
    BOOST_TEST((this->call("1").result == CallResult::NotSent));
}

// Guards against an endpoint that keeps running a cancelled request, and against closing the connection before the
// grace period has passed.
BOOST_FIXTURE_TEST_CASE(cancelClosesConnectionAfterGracePeriod, Fixture)
{
    this->serve([](int) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: 1\r\n\r\n"); });
    const auto call = this->start("1");
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->server->requests == 1; }));
    call->cancel(Milliseconds(20));
    runFor(this->io, std::chrono::milliseconds(5));
    BOOST_TEST(this->server->closedConnections == 0);
    BOOST_TEST(runUntil(this->io, [this] { return this->server->closedConnections == 1; }));
    BOOST_TEST(this->outcomes.empty());
}

// Guards against sending a non-idempotent request on an idle connection that the endpoint may be closing: it would be
// unknown whether the request ran.
BOOST_FIXTURE_TEST_CASE(nonIdempotentRequestAvoidsIdleConnection, Fixture)
{
    this->connectionLimit = 1;
    this->serve([](int number) { return makeResponse(std::to_string(number), "body"); });
    this->call("1");
    runFor(this->io, std::chrono::milliseconds(600));
    this->start("2", true);
    BOOST_REQUIRE(runUntil(this->io, [this] { return this->outcomes.size() == 2; }));
    BOOST_TEST((this->outcomes.back().result == CallResult::Answered));
    BOOST_TEST(this->server->connections == 2);
}

// Guards against a response that looks complete although the endpoint closed the connection before its end, in its head
// or in its body.
BOOST_FIXTURE_TEST_CASE(truncatedResponseIsLost, Fixture)
{
    const std::string whole = makeResponse("1", "body");
    for (std::size_t length = 0; length < whole.size(); ++length) {
        this->serve([&](int) { return whole.substr(0, length); });
        this->server->closeAfterResponse = true;
        this->endpoint->record.id = EndpointId("cut-at-" + std::to_string(length));
        BOOST_TEST((this->call("1").result == CallResult::Lost), whole.substr(0, length));
    }
}

// Guards against the same without a length, where only the end of the connection ends the response.
BOOST_FIXTURE_TEST_CASE(truncatedHeadWithoutLengthIsLost, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nServer: any\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        this->serve([&](int) { return head.substr(0, length); });
        this->server->closeAfterResponse = true;
        this->endpoint->record.id = EndpointId("cut-at-" + std::to_string(length));
        BOOST_TEST((this->call("1").result == CallResult::Lost), head.substr(0, length));
    }
}

// Guards against an endpoint that sends without end, in a head, a body, a chunk or between responses: it must neither
// exhaust the memory nor be read until the deadline.
BOOST_FIXTURE_TEST_CASE(endlessResponseIsLost, Fixture)
{
    constexpr std::size_t manyBytes = 6U * 1024 * 1024;
    std::string interimResponses;
    std::string staleResponses;
    for (int count = 0; count < 1000; ++count) {
        interimResponses += "HTTP/1.1 100 Continue\r\n\r\n";
        staleResponses += makeResponse("earlier", "");
    }
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::map<std::string, std::string> responses {
        { "head", "HTTP/1.1 200 OK\r\nX: " + std::string(manyBytes, 'x') },
        { "body", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + std::string(manyBytes, 'x') },
        { "body with length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n" },
        { "chunk extension", chunkedHead + "1;" + std::string(manyBytes, 'x') },
        { "trailer", chunkedHead + "0\r\nX: " + std::string(manyBytes, 'x') },
        { "interim responses", interimResponses },
        { "stale responses", staleResponses },
    };
    for (const auto &[name, bytes] : responses) {
        this->serve([&, text = bytes](int) { return text; });
        this->endpoint->record.id = EndpointId(name);
        BOOST_TEST((this->call("1").result == CallResult::Lost), name);
    }
}

// Guards against many connections on which endpoints send without end, each a little: together they must not exhaust
// the memory, and sound responses must still arrive.
BOOST_FIXTURE_TEST_CASE(manyEndlessResponsesAreBoundedTogether, Fixture)
{
    constexpr std::size_t connections = 200;
    constexpr std::size_t bytesOfEach = std::size_t { 250 } * 1024;
    constexpr std::size_t maxHeldResponses = ResponseMemory::maxTotalBytes / bytesOfEach;
    this->connectionLimit = connections;
    this->serve([](int) { return "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + std::string(bytesOfEach, 'x'); });
    for (std::size_t count = 0; count < connections; ++count) {
        this->start("1");
    }
    BOOST_TEST(runUntil(this->io, [this] { return this->outcomes.size() >= connections - maxHeldResponses; }));
    for (const CallOutcome &outcome : this->outcomes) {
        BOOST_TEST((outcome.result == CallResult::Lost));
    }
    const auto endlessServer = std::move(this->server);
    this->serve([](int) { return makeResponse("2", "body"); });
    this->endpoint = std::make_shared<ServiceEndpoint>();
    this->endpoint->record.id = EndpointId("sound");
    this->endpoint->record.address = this->server->address();
    BOOST_TEST((this->call("2").result == CallResult::Answered));
}

BOOST_AUTO_TEST_SUITE_END()

}
