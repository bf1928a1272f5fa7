#include "checker.h"
#include "endpointstandin.h"
#include "soakfleet.h"
#include "soakproxy.h"
#include "storestandin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_int32(seed, 1, "Seed of the run: load, faults, and what the endpoints say");
DEFINE_int32(runs, 1, "Number of runs, with consecutive seeds");
DEFINE_double(seconds, 15, "Length of a run");
DEFINE_int32(instances, 5, "Number of instances");
DEFINE_int32(callers, 12, "Number of callers");
DEFINE_string(program, LYCHEEWALL_PLATFORMD, "Program of the instances");
DEFINE_string(folder, "/tmp/lycheewall-soak", "Folder for settings and logs");

namespace Soak
{

namespace
{

constexpr int shardCount = 4;
constexpr int endpointsPerShard = 3;
/// Requests per second and burst of the organisation "limited".
constexpr double limitedOrganisationRate = 40;
constexpr double limitedOrganisationBurst = 40;
/// Faults begin after the fleet has served for this long.
constexpr double calmSeconds = 2;

std::string configuration(int version)
{
    nlohmann::json shards = nlohmann::json::array();
    nlohmann::json services = nlohmann::json::array();
    for (int shard = 0; shard < shardCount; ++shard) {
        shards.push_back("shard-" + std::to_string(shard));
        services.push_back({ { "Name", shards.back() }, { "MaxConnections", 80 } });
    }
    services.push_back({ { "Name", "records" }, { "MaxConnections", 80 } });
    const nlohmann::json search { { "Name", "search" },         { "Host", "soak.example" }, { "Prefix", "/search/" },
                                  { "Kind", "idempotent" },     { "TimeoutMs", 800 },       { "TargetLatencyMs", 100 },
                                  { "FanoutServices", shards }, { "MaxAttempts", 2 },       { "TopK", 6 },
                                  { "MinShardRatio", 0.75 } };
    const nlohmann::json record { { "Name", "record" },         { "Host", "soak.example" }, { "Prefix", "/record/" },
                                  { "Kind", "non_idempotent" }, { "TimeoutMs", 800 },       { "TargetLatencyMs", 100 },
                                  { "Service", "records" },     { "MaxAttempts", 2 } };
    nlohmann::json limited { { "Name", "limited" },
                             { "RatePerS", limitedOrganisationRate },
                             { "Burst", limitedOrganisationBurst } };
    limited["ApiKeys"] = nlohmann::json::array({ keyOf("limited") });
    nlohmann::json unlimited { { "Name", "unlimited" } };
    unlimited["ApiKeys"] = nlohmann::json::array({ keyOf("unlimited") });
    nlohmann::json result;
    result["Version"] = version;
    result["Routes"] = nlohmann::json::array({ search, record });
    result["Services"] = services;
    result["Tenants"] = nlohmann::json::array({ limited, unlimited });
    return result.dump();
}

/// At most one statement of each kind, so that the checker can tell them apart.
std::vector<StatementSpan> drawSpans(std::mt19937 &random)
{
    const auto uniform = [&random](double from, double until) {
        return std::uniform_real_distribution<double>(from, until)(random);
    };
    std::vector<StatementSpan> spans;
    const double now = elapsedSeconds();
    if (uniform(0, 1) < 0.6) {
        const double from = now + uniform(1, 4);
        spans.push_back({ Statement::Kind::RateLimit, from, from + uniform(6, 12), uniform(3, 25) });
    }
    if (uniform(0, 1) < 0.4) {
        const double from = now + uniform(1, 8);
        spans.push_back({ Statement::Kind::Backoff, from, from + uniform(0.5, 4), uniform(0.6, 4) });
    }
    if (uniform(0, 1) < 0.2) {
        spans.push_back({ Statement::Kind::Leaving, now + uniform(2, 8), now + 1000, 0 });
    }
    return spans;
}

/// Disturbs the instances whose number leaves @p remainder when divided by 2, but for the last one, one after the
/// other.
void disturbInstances(SoakFleet &fleet, Observations &observations, unsigned seed, int remainder, double until)
{
    std::mt19937 random(seed);
    std::vector<int> own;
    for (int instance = 0; instance + 1 < fleet.size(); ++instance) {
        if (instance % 2 == remainder) {
            own.push_back(instance);
        }
    }
    while (!own.empty() && elapsedSeconds() < until) {
        std::this_thread::sleep_for(
            std::chrono::duration<double>(std::uniform_real_distribution<double>(0, 2)(random)));
        fleet.disturb(own[random() % own.size()], random, observations);
    }
}

/// Takes the store away for some time, at most once every few seconds.
void disturbStore(boost::asio::io_context &io, StoreStandin &store, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> pause(1, 4);
    while (elapsedSeconds() + pause.max() < until) {
        std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
        boost::asio::post(io, [&store] { store.setDown(true); });
        std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
        boost::asio::post(io, [&store] { store.setDown(false); });
    }
    boost::asio::post(io, [&store] { store.setDown(false); });
}

/// Publishes new versions of the configuration, at times in quick succession.
void changeConfiguration(boost::asio::io_context &io, StoreStandin &store, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> pause(0.1, 2);
    for (int version = 2; elapsedSeconds() < until; ++version) {
        std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
        boost::asio::post(io, [&store, version] { store.set("op/config", configuration(version)); });
    }
}

/// The back ends and the store, which run in a thread of their own.
struct Surroundings
{
    /// With one zone, endpoints make statements. With several, shards are relayed, which does not show which instance
    /// has sent them, so that statements could not be checked; a proxy disturbs the connections to the endpoints
    /// instead.
    Surroundings(Observations &observations, std::mt19937 &random, int zones, const std::string &folder)
        : store(io)
    {
        for (int service = 0; service <= shardCount; ++service) {
            const std::string name = service < shardCount ? "shard-" + std::to_string(service) : "records";
            for (int number = 0; number < endpointsPerShard; ++number) {
                auto spans = zones == 1 ? drawSpans(random) : std::vector<StatementSpan>();
                this->endpoints.push_back(std::make_unique<EndpointStandin>(this->io,
                                                                            observations,
                                                                            name + "-" + std::to_string(number),
                                                                            name,
                                                                            zoneOf(service + number, zones),
                                                                            std::move(spans),
                                                                            static_cast<unsigned>(random())));
            }
        }
        std::vector<std::string> addresses;
        for (const auto &endpoint : this->endpoints) {
            addresses.push_back(endpoint->address());
        }
        if (zones > 1) {
            this->proxy = std::make_unique<SoakProxy>(addresses, folder);
        }
        this->store.set("op/config", configuration(1));
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            const EndpointStandin &endpoint = *this->endpoints[index];
            this->store.set("servers/" + endpoint.id(),
                            endpoint.entry(this->proxy ? this->proxy->addressOf(index) : endpoint.address()));
        }
        this->thread = std::thread([this] { this->io.run(); });
    }

    ~Surroundings()
    {
        this->io.stop();
        this->thread.join();
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { io.get_executor() };
    StoreStandin store;
    std::vector<std::unique_ptr<EndpointStandin>> endpoints;
    std::unique_ptr<SoakProxy> proxy;
    std::thread thread;
};

/// Disturbs the connections to the endpoints in series.
void disturbConnections(SoakProxy &proxy, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> pause(0, 1);
    while (elapsedSeconds() < until) {
        std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
        proxy.disturb(random);
    }
}

void disturbAndCall(SoakFleet &fleet, Surroundings &surroundings, Observations &observations, unsigned seed)
{
    const double until = elapsedSeconds() + FLAGS_seconds;
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < FLAGS_callers; ++caller) {
        threads.emplace_back(
            [&, caller] { runCaller(fleet, observations, 1000 * seed + static_cast<unsigned>(caller), stop); });
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(calmSeconds));
    std::thread storeThread([&] { disturbStore(surroundings.io, surroundings.store, seed, until); });
    std::thread operatorThread([&] { changeConfiguration(surroundings.io, surroundings.store, seed, until); });
    std::thread evenThread([&] { disturbInstances(fleet, observations, 2 * seed, 0, until); });
    std::thread oddThread([&] { disturbInstances(fleet, observations, 2 * seed + 1, 1, until); });
    std::thread proxyThread([&] {
        if (surroundings.proxy) {
            disturbConnections(*surroundings.proxy, seed, until);
        }
    });
    for (std::thread *thread : { &storeThread, &operatorThread, &evenThread, &oddThread, &proxyThread }) {
        thread->join();
    }
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
}

/// Returns true if no promise was broken.
bool runSeed(unsigned seed)
{
    const std::string folder = FLAGS_folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::mt19937 random(seed);
    Observations observations;
    // With many zones, some shards have no endpoint in the zone of an instance and are relayed.
    constexpr int manyZones = 4;
    const int zones = seed % 2 == 0 ? 1 : manyZones;
    Surroundings surroundings(observations, random, zones, folder);
    constexpr int firstNetwork = 20;
    constexpr int networkCount = 200;
    SoakFleet fleet(FLAGS_program,
                    FLAGS_instances,
                    zones,
                    firstNetwork + static_cast<int>(seed) % networkCount,
                    surroundings.store.address(),
                    folder);
    for (int instance = 0; instance < fleet.size(); ++instance) {
        fleet.start(instance);
    }
    if (!fleet.waitUntilReady()) {
        std::cout << "seed " << seed << ": an instance did not become ready\n";
        return false;
    }
    disturbAndCall(fleet, surroundings, observations, seed);
    std::vector<std::string> violations
        = findViolations(observations, { shardCount, limitedOrganisationRate, limitedOrganisationBurst });
    if (!fleet.areAllRunning()) {
        violations.emplace_back("FAULT: an instance has ended by itself");
    }
    const auto served = std::count_if(observations.attempts.begin(),
                                      observations.attempts.end(),
                                      [](const CallerAttempt &attempt) { return attempt.status == 200; });
    std::cout << "seed " << seed << ": " << observations.attempts.size() << " requests, " << served << " served, "
              << observations.arrivals.size() << " arrivals, " << observations.statements.size() << " statements, "
              << observations.faults.size() << " faults, " << violations.size() << " violations\n";
    for (const std::string &violation : violations) {
        std::cout << "  " << violation << '\n';
    }
    return violations.empty() && served > 0;
}

}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Runs instances among faults and checks what callers and endpoints see.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Soak::elapsedSeconds();
    bool passed = true;
    for (int run = 0; run < FLAGS_runs; ++run) {
        passed = Soak::runSeed(static_cast<unsigned>(FLAGS_seed + run)) && passed;
    }
    std::cout << (passed ? "soak passed" : "soak FAILED") << std::endl;
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
