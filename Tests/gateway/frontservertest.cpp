#include "gateway/frontserver.h"

#include "forwarding/fixture.h"
#include "gateway/rawhttpserver.h"

#include <boost/asio/connect.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FrontServerTest)

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::size_t machineBytes = std::size_t { 256 } * 1024 * 1024;
constexpr std::size_t machineDescriptors = 4096;

/// A caller codec whose replies hold the body of the response, or the code of the refusal.
class TestCallerCodec : public CallerCodec
{
public:
    Result<CallerRequestPtr> decode(const HttpRequestMessage &message, TimePoint arrivedAt) const override
    {
        const auto request = std::make_shared<CallerRequest>();
        request->method = std::string(message.method_string());
        request->host = "host";
        request->target = std::string(message.target());
        request->body = message.body();
        request->arrivedAt = arrivedAt;
        request->deadline = arrivedAt + std::chrono::seconds(5);
        return CallerRequestPtr(request);
    }
    HttpResponseMessage encode(const ForwardReply &reply, const CallerRequest * /*request*/) const override
    {
        HttpResponseMessage message;
        message.result(reply.response() ? http::status::ok : http::status::bad_request);
        message.body() = reply.response() ? reply.response()->body : std::string(refusalCode(reply.refusal()));
        return message;
    }
};

struct Fixture : public ForwardingFixture
{
    Fixture()
    {
        this->routeToService();
        this->tableContent.limits.headerBytes = 400;
        this->tableContent.limits.bodyBytes = 100;
        this->forwarder.setTable(this->table());
        this->server = FrontServer::create(this->io, "127.0.0.1:0", this->front).value();
        this->socket.connect({ boost::asio::ip::address_v4::loopback(), this->server->port() });
        this->socket.non_blocking(true);
    }

    ~Fixture()
    {
        this->finishAllRequests();
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(this->socket, boost::asio::buffer(bytes));
    }

    /// Runs the server until the received bytes end with @p end. Returns false on a timeout.
    bool receiveUntil(const std::string &end)
    {
        return runUntil(this->io, [this, &end] {
            std::array<char, 1024> bytes {};
            boost::system::error_code error;
            const std::size_t size = this->socket.read_some(boost::asio::buffer(bytes), error);
            this->received.append(bytes.data(), size);
            this->reachedEndOfStream = error == boost::asio::error::eof;
            return this->received.size() >= end.size()
                && this->received.compare(this->received.size() - end.size(), end.size(), end) == 0;
        });
    }

    bool waitForCalls(std::size_t number)
    {
        return runUntil(this->io, [this, number] { return this->endpointSender.calls.size() >= number; });
    }

    boost::asio::io_context io;
    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
    LatencyHistogram requestDurations;
    TestCallerCodec codec;
    std::shared_ptr<ConnectionBudget> budget = std::make_shared<ConnectionBudget>(
        clock, counters, ConnectionLimits::ofMachine(machineBytes, machineDescriptors));
    FrontContext front { clock, counters, forwarder, codec, requestDurations, budget };
    std::unique_ptr<FrontServer> server;
    tcp::socket socket { io };
    std::string received;
    bool reachedEndOfStream = false;
};

constexpr std::size_t largeBodyBytes = std::size_t { 256 } * 1024;
const std::string headOfLargeBody
    = "POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: " + std::to_string(largeBodyBytes) + "\r\n\r\n";
const std::string plainRequest = "GET /x HTTP/1.1\r\nHost: host\r\n\r\n";

}

// Guards against closing a persistent connection after its first request.
BOOST_FIXTURE_TEST_CASE(servesRequestsOnOneConnection, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->call(0).finish(CallResult::Answered, 200, "first");
    BOOST_TEST(this->receiveUntil("first"));
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(2));
    this->call(1).finish(CallResult::Answered, 200, "second");
    BOOST_TEST(this->receiveUntil("second"));
}

// Guards against replies in another order than the pipelined requests.
BOOST_FIXTURE_TEST_CASE(servesPipelinedRequestsInOrder, Fixture)
{
    this->send(plainRequest + plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    runFor(this->io, std::chrono::milliseconds(20));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    this->call(0).finish(CallResult::Answered, 200, "first");
    BOOST_REQUIRE(this->waitForCalls(2));
    this->call(1).finish(CallResult::Answered, 200, "second");
    BOOST_TEST(this->receiveUntil("second"));
    BOOST_TEST(this->received.find("first") < this->received.find("second"));
}

// Guards against endpoints that keep running a request after the caller has disconnected.
BOOST_FIXTURE_TEST_CASE(cancelsCallWhenCallerDisconnects, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->socket.close();
    BOOST_TEST(runUntil(this->io, [this] { return this->call(0).cancelled; }));
    BOOST_TEST(this->front.requestsInFlight == 0U);
}

// Guards against forwarding a request with an oversized header, and against a reply that does not state the reason.
BOOST_FIXTURE_TEST_CASE(enforcesHeaderLimit, Fixture)
{
    this->send("GET /x HTTP/1.1\r\nHost: host\r\nX-Long: " + std::string(500, 'x') + "\r\n\r\n");
    BOOST_TEST(this->receiveUntil("header-too-large"));
    BOOST_TEST(this->endpointSender.calls.empty());
}

// Guards against a reset that destroys the refusal, because the rest of an oversized header is not read.
BOOST_FIXTURE_TEST_CASE(readsRestOfOversizedHeader, Fixture)
{
    constexpr std::size_t sentBytes = std::size_t { 32 } * 1024 * 1024;
    this->tableContent.limits.headerBytes = std::size_t { 32 } * 1024;
    this->forwarder.setTable(this->table());
    const std::string head = "GET /x HTTP/1.1\r\nX-Long: " + std::string(sentBytes, 'x');
    std::optional<boost::system::error_code> result;
    boost::asio::async_write(this->socket,
                             boost::asio::buffer(head),
                             [&result](const boost::system::error_code &error, std::size_t) { result = error; });
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    BOOST_TEST(!*result);
    BOOST_TEST(this->receiveUntil("header-too-large"));
}

// Guards against accepting a body that is larger than the limit.
BOOST_FIXTURE_TEST_CASE(enforcesBodyLimit, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: 101\r\n\r\n");
    BOOST_TEST(this->receiveUntil("body-too-large"));
}

// Guards against a refusal of a HEAD request with a body: its bytes would stand before the next reply on the
// connection.
BOOST_FIXTURE_TEST_CASE(refusalOfHeadRequestHasNoBody, Fixture)
{
    this->send("HEAD /x HTTP/1.1\r\nHost: host\r\n\r\n");
    BOOST_REQUIRE(this->waitForCalls(1));
    this->finishAllRequests();
    BOOST_REQUIRE(this->receiveUntil("\r\n\r\n"));
    BOOST_TEST(this->received.find("400 Bad Request") != std::string::npos);
    this->received.clear();
    const std::size_t earlierCalls = this->endpointSender.calls.size();
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(earlierCalls + 1));
    this->call(earlierCalls).finish(CallResult::Answered, 200, "second");
    BOOST_REQUIRE(this->receiveUntil("second"));
    BOOST_TEST(this->received.find("HTTP/1.1 200") == 0U);
}

// Guards against the same when the request itself is invalid.
BOOST_FIXTURE_TEST_CASE(refusalOfInvalidHeadRequestHasNoBody, Fixture)
{
    this->send("HEAD /x HTTP/1.1\r\nHost: host\r\nContent-Length: 1000\r\n\r\n");
    BOOST_TEST(this->receiveUntil("\r\n\r\n"));
    BOOST_TEST(this->received.find("HTTP/1.1 400") == 0U);
}

// Guards against request smuggling: a request with both Content-Length and Transfer-Encoding is ambiguous.
BOOST_FIXTURE_TEST_CASE(rejectsContentLengthWithChunkedEncoding, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    BOOST_TEST(this->receiveUntil("bad-request"));
    BOOST_TEST(this->endpointSender.calls.empty());
}

// Guards against the same with a transfer coding that does not tell where the body ends.
BOOST_FIXTURE_TEST_CASE(rejectsTransferCodingWithoutLength, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: gzip\r\n\r\n" + plainRequest);
    BOOST_TEST(this->receiveUntil("bad-request"));
    runFor(this->io, std::chrono::milliseconds(20));
    BOOST_TEST(this->endpointSender.calls.empty());
}

// Guards against requests that are held to the limits of a configuration that was replaced while the connection was
// idle.
BOOST_FIXTURE_TEST_CASE(appliesCurrentLimitsToIdleConnection, Fixture)
{
    this->tableContent.limits.idleTimeout = Milliseconds(1);
    this->forwarder.setTable(this->table());
    runFor(this->io, std::chrono::milliseconds(50));
    this->tableContent.limits.idleTimeout = std::chrono::seconds(10);
    this->tableContent.limits.bodyBytes = 1000;
    this->forwarder.setTable(this->table());
    runFor(this->io, std::chrono::milliseconds(700));
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: 500\r\n\r\n" + std::string(500, 'x'));
    BOOST_REQUIRE(this->waitForCalls(1));
    BOOST_TEST(this->call(0).call.request->body.size() == 500U);
}

// Guards against truncating or changing a chunked body.
BOOST_FIXTURE_TEST_CASE(readsChunkedBodies, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_REQUIRE(this->waitForCalls(1));
    BOOST_TEST(this->call(0).call.request->body == "abcde");
}

// Guards against an instance that aborts requests in flight during its shutdown, or keeps their connections open.
BOOST_FIXTURE_TEST_CASE(shutdownClosesConnectionAfterReply, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->front.shuttingDown = true;
    this->server->closeIdleConnections();
    runFor(this->io, std::chrono::milliseconds(20));
    this->call(0).finish(CallResult::Answered, 200, "answer");
    BOOST_TEST(this->receiveUntil("answer"));
    BOOST_TEST(this->received.find("Connection: close") != std::string::npos);
    BOOST_TEST(runUntil(this->io, [this] {
        this->receiveUntil("answer");
        return this->reachedEndOfStream;
    }));
}

// Guards against idle connections that stay open while the instance shuts down.
BOOST_FIXTURE_TEST_CASE(closesIdleConnections, Fixture)
{
    runFor(this->io, std::chrono::milliseconds(20));
    this->server->closeIdleConnections();
    BOOST_TEST(runUntil(this->io, [this] {
        std::array<char, 8> bytes {};
        boost::system::error_code error;
        this->socket.read_some(boost::asio::buffer(bytes), error);
        return error == boost::asio::error::eof;
    }));
}

// Guards against requests in flight that are cut without a reply when the process ends.
BOOST_FIXTURE_TEST_CASE(requestsInFlightGetRepliesAtTheEnd, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->server->finishRequests();
    BOOST_TEST(this->receiveUntil("deadline-exceeded"));
    BOOST_TEST(this->call(0).cancelled);
    BOOST_TEST(runUntil(this->io, [this] { return this->front.requestsInFlight == 0; }));
}

// Guards against a request that is half received when the process ends and gets no reply.
BOOST_FIXTURE_TEST_CASE(halfReceivedRequestIsRefusedAtTheEnd, Fixture)
{
    this->send("GET /x HTTP/1.1\r\nHost");
    runFor(this->io, std::chrono::milliseconds(20));
    this->server->finishRequests();
    BOOST_TEST(this->receiveUntil("shutting-down"));
    BOOST_TEST(this->endpointSender.calls.empty());
}

// Guards against resetting connections that are still in the listen queue when an instance stops listening. Their
// callers may already have sent a request.
BOOST_FIXTURE_TEST_CASE(queuedConnectionsAreServedAfterTheEndOfListening, Fixture)
{
    tcp::socket queued(this->io);
    queued.connect({ boost::asio::ip::address_v4::loopback(), this->server->port() });
    boost::asio::write(queued, boost::asio::buffer(plainRequest));
    this->server->stopAccepting();
    BOOST_REQUIRE(this->waitForCalls(1));
    this->socket = std::move(queued);
    this->socket.non_blocking(true);
    this->call(0).finish(CallResult::Answered, 200, "served");
    BOOST_TEST(this->receiveUntil("served"));
}

// Guards against a process that does not end because the number of open connections is wrong.
BOOST_FIXTURE_TEST_CASE(connectionCountFollowsCloses, Fixture)
{
    BOOST_TEST(runUntil(this->io, [this] { return this->server->connectionCount() == 1; }));
    this->server->finishRequests();
    this->socket.close();
    BOOST_TEST(runUntil(this->io, [this] { return this->server->connectionCount() == 0; }));
}

// Guards against memory that grows with bodies whose last byte does not arrive, and against a refusal that does not
// state the reason.
BOOST_FIXTURE_TEST_CASE(incompleteRequestIsRefusedWhenMemoryIsShort, Fixture)
{
    this->tableContent.limits.bodyBytes = largeBodyBytes;
    this->forwarder.setTable(this->table());
    this->budget->setLimits({ largeBodyBytes / 2, largeBodyBytes, 100 });
    this->send(headOfLargeBody + std::string(largeBodyBytes - 1, 'x'));
    BOOST_TEST(this->receiveUntil("memory-exceeded"));
    BOOST_TEST(this->endpointSender.calls.empty());
    BOOST_TEST(runUntil(this->io, [this] { return this->budget->heldBytes() < largeBodyBytes / 2; }));
}

// Guards against header fields that are counted by their bytes only: their nodes need many times more.
BOOST_FIXTURE_TEST_CASE(countsMemoryOfSmallHeaderFields, Fixture)
{
    constexpr std::size_t fields = 5000;
    this->tableContent.limits.headerBytes = 8 * fields;
    this->forwarder.setTable(this->table());
    std::string head = "GET /x HTTP/1.1\r\n";
    for (std::size_t count = 0; count < fields; ++count) {
        head += "a:\r\n";
    }
    this->send(head);
    BOOST_TEST(runUntil(this->io, [this] { return this->budget->heldBytes() > 64 * fields; }));
}

// Guards against memory that does not count because it was received before the response to the previous request.
BOOST_FIXTURE_TEST_CASE(countsIncompleteHeaderThatWasSentAhead, Fixture)
{
    constexpr std::size_t fields = 2000;
    this->tableContent.limits.headerBytes = 8 * fields;
    this->forwarder.setTable(this->table());
    std::string ahead = "GET /x HTTP/1.1\r\n";
    for (std::size_t count = 0; count < fields; ++count) {
        ahead += "a:\r\n";
    }
    this->send(plainRequest + ahead);
    BOOST_REQUIRE(this->waitForCalls(1));
    runFor(this->io, std::chrono::milliseconds(20));
    this->call(0).finish(CallResult::Answered, 200, "served");
    BOOST_REQUIRE(this->receiveUntil("served"));
    BOOST_TEST(runUntil(this->io, [this] { return this->budget->heldBytes() > 64 * fields; }));
}

// Guards against a request that is passed on although the memory for its body and the copies of it is missing.
BOOST_FIXTURE_TEST_CASE(requestBeyondMemoryIsRefusedAsNotRun, Fixture)
{
    this->tableContent.limits.bodyBytes = largeBodyBytes;
    this->forwarder.setTable(this->table());
    const std::string request = headOfLargeBody + std::string(largeBodyBytes, 'x');
    this->budget->setLimits({ 3 * largeBodyBytes, largeBodyBytes, 100 });
    this->send(request);
    BOOST_REQUIRE(this->waitForCalls(1));
    tcp::socket second(this->io);
    second.connect({ boost::asio::ip::address_v4::loopback(), this->server->port() });
    boost::asio::write(second, boost::asio::buffer(request));
    std::swap(this->socket, second);
    this->socket.non_blocking(true);
    BOOST_TEST(this->receiveUntil("memory-exceeded"));
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    std::swap(this->socket, second);
    this->call(0).finish(CallResult::Answered, 200, "served");
    BOOST_TEST(this->receiveUntil("served"));
}

// Guards against requests in flight that grow beyond the memory by what their clients send ahead, and against requests
// ahead that are not read later.
BOOST_FIXTURE_TEST_CASE(readsLessAheadWhenMemoryIsShort, Fixture)
{
    constexpr std::size_t shortMemory = std::size_t { 16 } * 1024;
    std::string ahead;
    while (ahead.size() < 2 * shortMemory) {
        ahead += plainRequest;
    }
    this->budget->setLimits({ shortMemory, largeBodyBytes, 100 });
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->send(ahead);
    runFor(this->io, std::chrono::milliseconds(50));
    BOOST_TEST(this->budget->heldBytes() < shortMemory + shortMemory / 2);
    this->budget->setLimits({ largeBodyBytes, largeBodyBytes, 100 });
    const std::size_t requests = 1 + ahead.size() / plainRequest.size();
    for (std::size_t number = 0; number < requests; ++number) {
        BOOST_REQUIRE(this->waitForCalls(number + 1));
        this->call(number).finish(CallResult::Answered, 200, "served");
    }
}

// Guards against running out of descriptors for clients that connect and send nothing, and against a request in flight
// that is cut for them.
BOOST_FIXTURE_TEST_CASE(idleConnectionsAreClosedWhenDescriptorsAreShort, Fixture)
{
    this->budget->setLimits({ largeBodyBytes, largeBodyBytes, 16 });
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    std::deque<tcp::socket> idle;
    for (int count = 0; count < 40; ++count) {
        idle.emplace_back(this->io).connect({ boost::asio::ip::address_v4::loopback(), this->server->port() });
        runFor(this->io, std::chrono::milliseconds(1));
        BOOST_TEST(this->server->connectionCount() <= 12U);
    }
    this->call(0).finish(CallResult::Answered, 200, "served");
    BOOST_TEST(this->receiveUntil("served"));
}

BOOST_AUTO_TEST_SUITE_END()

}
