// Closed-loop load generator for endpoints, which measures the overhead of standin_endpoints itself.
#include "httpserver.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(ports, "", "endpoint ports on 127.0.0.1, comma-separated");
DEFINE_int32(connections, 8, "connections per port, each with one request at a time");
DEFINE_double(seconds, 5, "how long requests are sent");
DEFINE_string(snapshot, "0", "snapshot version to request");
DEFINE_string(shard, "", "shard to request");

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::atomic<std::uint64_t> answered { 0 };
std::atomic<std::uint64_t> rejected { 0 };

void sendRequests(std::uint16_t port, std::chrono::steady_clock::time_point endTime)
{
    asio::io_context context(1);
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4::loopback(), port });
    socket.set_option(asio::ip::tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    for (std::uint64_t index = 0; std::chrono::steady_clock::now() < endTime; ++index) {
        Standins::HttpRequest request(http::verb::post, "/run", 11, R"({"query":"the same words"})");
        const std::string id = std::to_string(port) + "-" + std::to_string(index);
        request.set("Lycheewall-Request", id);
        request.set("Lycheewall-Attempt", std::to_string(index));
        request.set("Lycheewall-Organisation", "load");
        request.set("Lycheewall-Snapshot", FLAGS_snapshot);
        request.set("Lycheewall-Shard", FLAGS_shard);
        request.set("Lycheewall-Deadline-Ms", "5000");
        request.prepare_payload();
        http::write(socket, request);
        Standins::HttpResponse response;
        http::read(socket, buffer, response);
        ++(response.result_int() == 200 ? answered : rejected);
    }
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto start = std::chrono::steady_clock::now();
    const auto endTime = start + std::chrono::milliseconds(static_cast<int>(FLAGS_seconds * 1000));
    std::vector<std::thread> threads;
    for (const std::string &port : Standins::splitList(FLAGS_ports)) {
        for (int index = 0; index < FLAGS_connections; ++index) {
            threads.emplace_back(sendRequests, static_cast<std::uint16_t>(std::stoi(port)), endTime);
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::cout << "answered=" << answered << " refused=" << rejected
              << " per-second=" << static_cast<std::uint64_t>(static_cast<double>(answered) / elapsed.count())
              << std::endl;
    return 0;
}
