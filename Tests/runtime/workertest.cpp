#include "runtime/worker.h"
#include "runtime/await.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <future>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace
{

void serveConnection(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        const auto [readError, size] = Lycheewall::awaitValue<std::size_t>(
            [&](auto handler) { http::async_read(stream, buffer, request, std::move(handler)); });
        if (readError) {
            return;
        }
        http::response<http::string_body> response(http::status::ok, request.version(), request.body());
        response.keep_alive(true);
        response.prepare_payload();
        const auto [writeError, written] = Lycheewall::awaitValue<std::size_t>(
            [&](auto handler) { http::async_write(stream, response, std::move(handler)); });
        if (writeError) {
            return;
        }
    }
}

std::string exchange(beast::tcp_stream &stream, const std::string &body)
{
    http::request<http::string_body> request(http::verb::post, "/", 11, body);
    request.prepare_payload();
    Lycheewall::awaitValue<std::size_t>([&](auto handler) { http::async_write(stream, request, std::move(handler)); });
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    Lycheewall::awaitValue<std::size_t>(
        [&](auto handler) { http::async_read(stream, buffer, response, std::move(handler)); });
    return response.body();
}

}

BOOST_AUTO_TEST_SUITE(WorkerTest)

// Guards against a scheduler that lets a fiber wait forever although its socket is ready, also across threads.
BOOST_AUTO_TEST_CASE(workersExchangeDataOverSockets)
{
    const auto server = Lycheewall::Worker::create();
    const auto client = Lycheewall::Worker::create();
    std::promise<std::uint16_t> port;
    server->spawn([&] {
        tcp::acceptor acceptor(server->context(), { asio::ip::make_address("127.0.0.1"), 0 });
        port.set_value(acceptor.local_endpoint().port());
        auto [error, socket]
            = Lycheewall::awaitValue<tcp::socket>([&](auto handler) { acceptor.async_accept(std::move(handler)); });
        serveConnection(std::move(socket));
    });
    const std::uint16_t bound = port.get_future().get();
    std::promise<int> done;
    client->spawn([&] {
        beast::tcp_stream stream(client->context());
        Lycheewall::awaitCompletion([&](auto handler) {
            stream.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), bound), std::move(handler));
        });
        int echoed = 0;
        for (int round = 0; round < 500; ++round) {
            const std::string body = std::to_string(round);
            echoed += exchange(stream, body) == body ? 1 : 0;
        }
        done.set_value(echoed);
    });
    auto result = done.get_future();
    BOOST_REQUIRE(result.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    BOOST_TEST(result.get() == 500);
}

// Guards against a lost wake-up between threads: a fiber waits for a promise that another thread fulfils.
BOOST_AUTO_TEST_CASE(promiseFromOtherThreadWakesFiber)
{
    const auto worker = Lycheewall::Worker::create();
    for (int round = 0; round < 100; ++round) {
        auto promise = std::make_shared<boost::fibers::promise<int>>();
        std::promise<int> seen;
        worker->spawn([&seen, future = std::make_shared<boost::fibers::future<int>>(promise->get_future())] {
            seen.set_value(future->get());
        });
        std::thread other([promise, round] { promise->set_value(round); });
        auto result = seen.get_future();
        BOOST_REQUIRE(result.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        BOOST_TEST(result.get() == round);
        other.join();
    }
}

// Guards against a worker that spins while a fiber sleeps, which made an idle daemon use a whole core.
BOOST_AUTO_TEST_CASE(sleepingFibersUseNoCpuTime)
{
    const auto worker = Lycheewall::Worker::create();
    const std::clock_t before = std::clock();
    std::promise<void> sleeping;
    std::promise<void> done;
    worker->spawn([&] {
        sleeping.set_value();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(500));
        done.set_value();
    });
    sleeping.get_future().wait();
    // Any event while a fiber sleeps makes the scheduler suspend again for the same deadline.
    for (int event = 0; event < 10; ++event) {
        std::promise<void> handled;
        boost::asio::post(worker->context(), [&handled] { handled.set_value(); });
        handled.get_future().wait();
    }
    BOOST_REQUIRE(done.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    const double used = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    BOOST_TEST(used < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()
