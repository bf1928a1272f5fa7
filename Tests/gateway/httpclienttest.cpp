#include "gateway/httpclient.h"

#include "gateway/rawhttpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(HttpClientTest)

namespace
{

using boost::asio::ip::tcp;

/// Sends the beginning of a response and then its body byte by byte, with a pause after each.
struct SlowServer
{
    SlowServer(boost::asio::io_context &io, std::string responseBody, std::chrono::milliseconds pauseTime)
        : acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , socket(io)
        , timer(io)
        , body(std::move(responseBody))
        , pause(pauseTime)
    {
        this->acceptor.async_accept(this->socket, [this](boost::system::error_code error) {
            if (!error) {
                boost::asio::write(this->socket,
                                   boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: "
                                                       + std::to_string(this->body.size()) + "\r\n\r\n"));
                this->sendNextByte();
            }
        });
    }

    void sendNextByte()
    {
        if (this->sent == this->body.size()) {
            return;
        }
        boost::system::error_code ignored;
        boost::asio::write(this->socket, boost::asio::buffer(&this->body[this->sent], 1), ignored);
        ++this->sent;
        this->timer.expires_after(this->pause);
        this->timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                this->sendNextByte();
            }
        });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string body;
    std::chrono::milliseconds pause;
    std::size_t sent = 0;
};

/// Sends a body without end, until the client closes the connection.
struct EndlessServer
{
    explicit EndlessServer(boost::asio::io_context &io)
        : acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , socket(io)
    {
        this->acceptor.async_accept(this->socket, [this](boost::system::error_code error) {
            if (!error) {
                boost::asio::write(this->socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")));
                this->sendBlock();
            }
        });
    }

    void sendBlock()
    {
        boost::asio::async_write(
            this->socket, boost::asio::buffer(this->block), [this](boost::system::error_code error, std::size_t size) {
                this->sentBytes += size;
                if (!error) {
                    this->sendBlock();
                }
            });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    std::string block = std::string(std::size_t { 256 } * 1024, 'x');
    std::size_t sentBytes = 0;
};

/// Requests the response of a SlowServer with a timeout of 200 ms.
Result<HttpClientResponse> request(const std::string &body, std::chrono::milliseconds pause)
{
    boost::asio::io_context io;
    SlowServer server(io, body, pause);
    HttpClient client(io, "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()));
    std::optional<Result<HttpClientResponse>> result;
    client.get("/", std::chrono::milliseconds(200), [&result](const Result<HttpClientResponse> &response) {
        result = response;
    });
    BOOST_REQUIRE(runUntil(io, [&result] { return result.has_value(); }));
    return *result;
}

}

// Guards against giving up a response that arrives slowly but steadily: a reader with a slow link would request the
// same data again and never receive it.
BOOST_AUTO_TEST_CASE(slowResponseWithProgressIsReceived)
{
    const auto response = request("0123456789", std::chrono::milliseconds(50));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().body == "0123456789");
}

// Guards against waiting for a server that stops in the middle of a response.
BOOST_AUTO_TEST_CASE(responseWithoutProgressTimesOut)
{
    const auto response = request("01", std::chrono::seconds(10));
    BOOST_TEST((response.error() == FeedError::TimedOut));
}

// Guards against a server that sends without end and exhausts the memory.
BOOST_AUTO_TEST_CASE(endlessResponseIsGivenUp)
{
    constexpr std::size_t maxBytes = std::size_t { 32 } * 1024 * 1024;
    boost::asio::io_context io;
    EndlessServer server(io);
    HttpClient client(io, "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()));
    std::optional<Result<HttpClientResponse>> result;
    client.get("/", std::chrono::milliseconds(200), [&result](const Result<HttpClientResponse> &response) {
        result = response;
    });
    BOOST_REQUIRE(runUntil(io, [&] { return result.has_value() || server.sentBytes > maxBytes; }));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->error() == FeedError::ResponseTooLarge));
}

// Guards against cancelling a response that has begun to arrive: on a slow link it would be requested again and again.
BOOST_AUTO_TEST_CASE(cancelUnansweredSparesArrivingResponse)
{
    for (const bool hasBegun : { false, true }) {
        boost::asio::io_context io;
        SlowServer server(io, std::string(20, 'x'), std::chrono::milliseconds(10));
        HttpClient client(io, "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()));
        std::optional<Result<HttpClientResponse>> result;
        client.get("/", std::chrono::milliseconds(200), [&result](const Result<HttpClientResponse> &response) {
            result = response;
        });
        BOOST_REQUIRE(!hasBegun || runUntil(io, [&server] { return server.sent > 5; }));
        client.cancelUnanswered();
        BOOST_REQUIRE(runUntil(io, [&result] { return result.has_value(); }));
        BOOST_TEST(result->has_value() == hasBegun);
    }
}

// Guards against statuses that mean nothing and are taken for an answer, and against waiting for the rest of such a
// response, or for the final one behind interim responses without end.
BOOST_AUTO_TEST_CASE(invalidStatusFailsAtOnce)
{
    for (const std::string status : { "000", "099", "100", "103", "600", "999" }) {
        boost::asio::io_context io;
        std::string response = "HTTP/1.1 " + status + " X\r\nContent-Length: 100\r\n\r\n";
        response += response;
        RawHttpServer server(io, [&response](int) { return response; });
        HttpClient client(io, server.address());
        std::optional<Result<HttpClientResponse>> result;
        client.get(
            "/", std::chrono::seconds(5), [&result](const Result<HttpClientResponse> &received) { result = received; });
        runFor(io, std::chrono::milliseconds(300));
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_REQUIRE(result.has_value());
            BOOST_TEST((!result->has_value() && result->error() == FeedError::MalformedResponse));
            BOOST_TEST(server.closedConnections == 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
