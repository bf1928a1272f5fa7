// Stand-in for the back end: serves each endpoint of a catalogue file on a port of its own.
#include "endpointserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>
#include <yaml-cpp/yaml.h>

DEFINE_string(catalogue, "", "catalogue file whose endpoints are served");
DEFINE_string(log, "", "log file, one JSON line per event");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_int32(control_port, 0, "port for commands and statistics");
DEFINE_double(service_ms, 0, "mean service time of all pools; 0 for service-ms of the catalogue");
DEFINE_double(straggler_share, 0.01, "fraction of runs that are stragglers");
DEFINE_double(straggler_factor, 20, "factor on the service time of a straggler");
DEFINE_double(connect_ms, 6, "delay of the first response on a connection");
DEFINE_double(cold_ms, 0, "how long an endpoint is cold after its start");
DEFINE_uint64(queue_bound, 32, "maximum length of the queue of an endpoint");
DEFINE_string(caller_keys, "", "keys that must not reach an endpoint, comma-separated");
DEFINE_int32(threads, 0, "worker threads; 0 for one per core, at most 3");

namespace
{

using namespace Standins;

constexpr unsigned maxThreads = 3;
/// Size of a group in a pool without shards; must be the same as in the catalogue parser.
constexpr std::size_t endpointsPerGroup = 4;

/// Reads the endpoints of a catalogue file. Throws YAML::Exception or std::runtime_error.
class CatalogueReader
{
public:
    std::vector<EndpointSettings> read(const std::string &file)
    {
        const YAML::Node root = YAML::LoadFile(file);
        for (const auto &pool : root["pools"]) {
            this->readPool(pool.first.as<std::string>(), pool.second);
        }
        return std::move(this->endpoints);
    }

private:
    void readPool(const std::string &id, const YAML::Node &pool)
    {
        EndpointSettings common;
        common.pool = id;
        common.slots = pool["slots"].as<int>();
        common.connections = pool["connections"].as<int>();
        common.coldSlots = pool["cold-slots"].as<int>(1);
        common.sharded = pool["groups"].IsDefined();
        common.serviceMs = FLAGS_service_ms > 0 ? FLAGS_service_ms : pool["service-ms"].as<double>(common.serviceMs);
        common.stragglerFraction = FLAGS_straggler_share;
        common.stragglerFactor = FLAGS_straggler_factor;
        common.connectMs = FLAGS_connect_ms;
        common.coldMs = FLAGS_cold_ms;
        common.queueBound = FLAGS_queue_bound;
        common.callerKeys = splitList(FLAGS_caller_keys);
        for (const auto &group : pool["groups"]) {
            common.group = group.first.as<std::string>();
            common.documents = documentsOf(pool["snapshots"], common.group);
            for (const YAML::Node &endpoint : group.second["endpoints"]) {
                this->readEndpoint(common, endpoint);
            }
        }
        std::size_t index = 0;
        for (const YAML::Node &endpoint : pool["endpoints"]) {
            common.group = "g" + std::to_string(index++ / endpointsPerGroup);
            this->readEndpoint(common, endpoint);
        }
    }

    static std::map<std::uint64_t, std::uint64_t> documentsOf(const YAML::Node &snapshots, const std::string &group)
    {
        std::map<std::uint64_t, std::uint64_t> documents;
        for (const YAML::Node &snapshot : snapshots) {
            if (const YAML::Node count = snapshot["documents"][group]) {
                documents[snapshot["version"].as<std::uint64_t>()] = count.as<std::uint64_t>();
            }
        }
        return documents;
    }

    void readEndpoint(EndpointSettings settings, const YAML::Node &endpoint)
    {
        const auto address = endpoint["address"].as<std::string>();
        const std::string loopback = "127.0.0.1:";
        if (address.rfind(loopback, 0) != 0) {
            throw std::runtime_error("address " + address + " is not on 127.0.0.1");
        }
        settings.id = endpoint["id"].as<std::string>();
        settings.zone = endpoint["zone"].as<std::string>();
        settings.port = static_cast<std::uint16_t>(std::stoi(address.substr(loopback.size())));
        settings.seed = FLAGS_seed * 1'000'003 + this->endpoints.size();
        this->endpoints.push_back(std::move(settings));
    }

    std::vector<EndpointSettings> endpoints;
};

/// One thread and the endpoints that it serves.
struct EndpointThread
{
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard { context.get_executor() };
    std::vector<std::unique_ptr<EndpointServer>> endpoints;
    std::thread thread;

    /// Runs @p body on this thread and blocks until it has returned.
    template<typename Body> void runAndWait(Body &&body)
    {
        std::promise<void> done;
        boost::asio::post(this->context, [&] {
            body();
            done.set_value();
        });
        done.get_future().wait();
    }
};

class Backend
{
public:
    Backend(const std::vector<EndpointSettings> &endpoints, RunLog &log)
    {
        const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
        const unsigned count = FLAGS_threads > 0 ? static_cast<unsigned>(FLAGS_threads) : std::min(cores, maxThreads);
        for (unsigned index = 0; index < count; ++index) {
            this->threads.push_back(std::make_unique<EndpointThread>());
        }
        for (std::size_t index = 0; index < endpoints.size(); ++index) {
            EndpointThread &worker = *this->threads[index % count];
            worker.endpoints.push_back(std::make_unique<EndpointServer>(worker.context, endpoints[index], log));
            worker.endpoints.back()->listen();
        }
        for (const auto &worker : this->threads) {
            worker->thread = std::thread([&context = worker->context] { context.run(); });
        }
    }

    ~Backend()
    {
        for (const auto &worker : this->threads) {
            worker->context.stop();
            worker->thread.join();
        }
    }

    HttpResponse handleRequest(const HttpRequest &request)
    {
        const RequestTarget target(request.target());
        if (request.method() == boost::beast::http::verb::get && target.segment(0) == "stats") {
            return jsonResponse(200, this->stats());
        }
        if (request.method() == boost::beast::http::verb::post && target.path.size() == 3) {
            return this->command(target, request.body());
        }
        return jsonResponse(404, { { "error", "POST /<endpoint|pool|zone|all>/<id>/<command> or GET /stats" } });
    }

private:
    static bool matches(const EndpointSettings &endpoint, const std::string &kind, const std::string &id)
    {
        return kind == "all" || (kind == "endpoint" && endpoint.id == id) || (kind == "pool" && endpoint.pool == id)
            || (kind == "zone" && endpoint.zone == id);
    }

    HttpResponse command(const RequestTarget &target, const std::string &body)
    {
        int matched = 0;
        std::string problem;
        for (const auto &worker : this->threads) {
            worker->runAndWait([&] {
                for (const auto &endpoint : worker->endpoints) {
                    if (matches(endpoint->settings(), target.segment(0), target.segment(1))) {
                        ++matched;
                        const std::string text = endpoint->command(target.segment(2), target, body);
                        problem = text.empty() ? problem : text;
                    }
                }
            });
        }
        if (!problem.empty()) {
            return jsonResponse(400, { { "error", problem } });
        }
        return jsonResponse(matched > 0 ? 200 : 404, { { "endpoints", matched } });
    }

    nlohmann::json stats()
    {
        nlohmann::json report = nlohmann::json::object();
        for (const auto &worker : this->threads) {
            worker->runAndWait([&] {
                for (const auto &endpoint : worker->endpoints) {
                    report[endpoint->settings().id] = endpoint->stats();
                }
            });
        }
        return report;
    }

    std::vector<std::unique_ptr<EndpointThread>> threads;
};

}

int main(int argc, char **argv)
{
    parseArguments(argc, argv, "catalogue");
    try {
        RunLog log(FLAGS_log);
        Backend backend(CatalogueReader().read(FLAGS_catalogue), log);
        boost::asio::io_context context(1);
        HttpServer control(context);
        control.requestHandler = [&](const ConnectionPointer &connection, const HttpRequest &request) {
            connection->reply(backend.handleRequest(request));
        };
        const std::uint16_t port = control.listen(static_cast<std::uint16_t>(FLAGS_control_port));
        runUntilSignal(context, "control=" + std::to_string(port));
    } catch (const std::exception &problem) {
        std::cerr << "standin_endpoints: " << problem.what() << std::endl;
        return 2;
    }
    return 0;
}
