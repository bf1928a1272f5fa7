#include "gateway/frontserver.h"

#include "forwarding/fixture.h"
#include "gateway/testpeer.h"

#include <boost/asio/connect.hpp>
#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FrontServerTest)

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// A caller protocol of the tests: the body of an answer, or the code of a refusal.
class TestDialect : public CallerCodec
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
        message.result(reply.response ? http::status::ok : http::status::bad_request);
        message.body() = reply.response ? reply.response->body : std::string(refusalCode(reply.refusal));
        return message;
    }
};

struct Fixture : public ForwardingFixture
{
    Fixture()
    {
        this->routeToService();
        this->content.limits.headerBytes = 400;
        this->content.limits.bodyBytes = 100;
        this->forwarder.setTable(this->table());
        this->server = FrontServer::create(this->io, "127.0.0.1:0", this->front).value();
        this->socket.connect({ boost::asio::ip::address_v4::loopback(), this->server->port() });
        this->socket.non_blocking(true);
    }

    ~Fixture()
    {
        this->endAll();
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(this->socket, boost::asio::buffer(bytes));
    }

    /// Runs the server until it has sent bytes that end with @p end.
    bool receives(const std::string &end)
    {
        return runUntil(this->io, [this, &end] {
            std::array<char, 1024> bytes {};
            boost::system::error_code error;
            const std::size_t size = this->socket.read_some(boost::asio::buffer(bytes), error);
            this->received.append(bytes.data(), size);
            this->ended = error == boost::asio::error::eof;
            return this->received.size() >= end.size()
                && this->received.compare(this->received.size() - end.size(), end.size(), end) == 0;
        });
    }

    bool waitForCalls(std::size_t number)
    {
        return runUntil(this->io, [this, number] { return this->caller.calls.size() >= number; });
    }

    boost::asio::io_context io;
    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
    LatencyHistogram durations;
    TestDialect codec;
    FrontContext front { clock, counters, forwarder, codec, durations };
    std::unique_ptr<FrontServer> server;
    tcp::socket socket { io };
    std::string received;
    bool ended = false;
};

const std::string plainRequest = "GET /x HTTP/1.1\r\nHost: host\r\n\r\n";

}

// Guards against a connection that does not outlive its first request.
BOOST_FIXTURE_TEST_CASE(servesRequestsOnOneConnection, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->call(0).finish(CallResult::Answered, 200, "first");
    BOOST_TEST(this->receives("first"));
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(2));
    this->call(1).finish(CallResult::Answered, 200, "second");
    BOOST_TEST(this->receives("second"));
}

// Guards against answers in another order than the requests.
BOOST_FIXTURE_TEST_CASE(servesPipelinedRequestsInOrder, Fixture)
{
    this->send(plainRequest + plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    runFor(this->io, std::chrono::milliseconds(20));
    BOOST_TEST(this->caller.calls.size() == 1U);
    this->call(0).finish(CallResult::Answered, 200, "first");
    BOOST_REQUIRE(this->waitForCalls(2));
    this->call(1).finish(CallResult::Answered, 200, "second");
    BOOST_TEST(this->receives("second"));
    BOOST_TEST(this->received.find("first") < this->received.find("second"));
}

// Guards against endpoints that work on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(noticesThatTheCallerLeaves, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->socket.close();
    BOOST_TEST(runUntil(this->io, [this] { return this->call(0).released; }));
    BOOST_TEST(this->front.active == 0U);
}

// Guards against requests beyond the limits, and against an answer that does not name the reason.
BOOST_FIXTURE_TEST_CASE(keepsToTheLimits, Fixture)
{
    this->send("GET /x HTTP/1.1\r\nHost: host\r\nX-Long: " + std::string(500, 'x') + "\r\n\r\n");
    BOOST_TEST(this->receives("header-too-large"));
    BOOST_TEST(this->caller.calls.empty());
}

BOOST_FIXTURE_TEST_CASE(keepsToTheBodyLimit, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: 101\r\n\r\n");
    BOOST_TEST(this->receives("body-too-large"));
}

// Guards against a request that is hidden behind two statements of its length.
BOOST_FIXTURE_TEST_CASE(refusesTwoLengths, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    BOOST_TEST(this->receives("bad-request"));
    BOOST_TEST(this->caller.calls.empty());
}

// Guards against a body in chunks that is cut or changed.
BOOST_FIXTURE_TEST_CASE(readsChunkedBodies, Fixture)
{
    this->send("POST /x HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_REQUIRE(this->waitForCalls(1));
    BOOST_TEST(this->call(0).call.request->body == "abcde");
}

// Guards against a leaving instance that cuts a request or keeps its connections.
BOOST_FIXTURE_TEST_CASE(leavingClosesAfterTheAnswer, Fixture)
{
    this->send(plainRequest);
    BOOST_REQUIRE(this->waitForCalls(1));
    this->front.leaving = true;
    this->server->closeIdle();
    runFor(this->io, std::chrono::milliseconds(20));
    this->call(0).finish(CallResult::Answered, 200, "answer");
    BOOST_TEST(this->receives("answer"));
    BOOST_TEST(this->received.find("Connection: close") != std::string::npos);
    BOOST_TEST(runUntil(this->io, [this] {
        this->receives("answer");
        return this->ended;
    }));
}

// Guards against idle connections that keep a leaving instance.
BOOST_FIXTURE_TEST_CASE(closesIdleConnections, Fixture)
{
    runFor(this->io, std::chrono::milliseconds(20));
    this->server->closeIdle();
    BOOST_TEST(runUntil(this->io, [this] {
        std::array<char, 8> bytes {};
        boost::system::error_code error;
        this->socket.read_some(boost::asio::buffer(bytes), error);
        return error == boost::asio::error::eof;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

}
