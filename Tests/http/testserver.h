#pragma once

#include "runtime/await.h"
#include "runtime/worker.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <functional>
#include <future>
#include <thread>

namespace Lycheewall
{

using TestRequest = boost::beast::http::request<boost::beast::http::string_body>;
using TestResponse = boost::beast::http::response<boost::beast::http::string_body>;

inline bool waitUntil(const std::function<bool()> &condition)
{
    for (int round = 0; round < 5000 && !condition(); ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return condition();
}

/// An HTTP server on loopback. The handler runs in a fiber per connection and may sleep; without a response the server
/// closes the connection.
class TestServer
{
public:
    using Handler = std::function<std::optional<TestResponse>(const TestRequest &)>;

    explicit TestServer(Handler answer)
        : handler(std::move(answer))
        , worker(Worker::create())
    {
        std::promise<void> listening;
        this->worker->spawn([this, &listening] { this->accept(listening); });
        listening.get_future().get();
    }
    ~TestServer()
    {
        this->stop();
    }
    void stop()
    {
        std::promise<void> done;
        this->worker->spawn([&] {
            this->acceptor->close();
            this->closeConnections();
            done.set_value();
        });
        done.get_future().get();
    }
    /// Closes the connections that are open now.
    void dropAll()
    {
        std::promise<void> done;
        this->worker->spawn([&] {
            this->closeConnections();
            done.set_value();
        });
        done.get_future().get();
    }

    std::uint16_t port = 0;
    std::atomic<int> accepted { 0 };
    std::atomic<int> open { 0 };
    std::atomic<int> mostOpen { 0 };
    std::atomic<int> requests { 0 };

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept(std::promise<void> &listening)
    {
        const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        this->acceptor = std::make_unique<boost::asio::ip::tcp::acceptor>(this->worker->context(), any);
        this->port = this->acceptor->local_endpoint().port();
        listening.set_value();
        for (;;) {
            auto [error, socket]
                = awaitValue<Socket>([&](auto done) { this->acceptor->async_accept(std::move(done)); });
            if (error) {
                return;
            }
            ++this->accepted;
            this->mostOpen = std::max(this->mostOpen.load(), ++this->open);
            auto shared = std::make_shared<Socket>(std::move(socket));
            this->sockets.push_back(shared);
            this->worker->spawn([this, shared] {
                this->serve(*shared);
                --this->open;
                shared->close();
            });
        }
    }
    void serve(Socket &socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            TestRequest request;
            const auto read = awaitValue<std::size_t>(
                [&](auto done) { boost::beast::http::async_read(socket, buffer, request, std::move(done)); });
            if (read.first) {
                return;
            }
            ++this->requests;
            auto response = this->handler(request);
            if (!response) {
                return;
            }
            response->prepare_payload();
            const auto written = awaitValue<std::size_t>(
                [&](auto done) { boost::beast::http::async_write(socket, *response, std::move(done)); });
            if (written.first || !response->keep_alive()) {
                return;
            }
        }
    }
    void closeConnections()
    {
        for (const auto &socket : this->sockets) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
        this->sockets.clear();
    }

    Handler handler;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
    std::vector<std::shared_ptr<Socket>> sockets;
    std::unique_ptr<Worker> worker;
};

}
