#include "checker.h"
#include "endpointstandin.h"
#include "soakfleet.h"
#include "soakproxy.h"
#include "storestandin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <future>
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
/// With this number of zones, some shards have no endpoint in the zone of an instance and are relayed.
constexpr int manyZones = 4;

/// What the operator publishes; without the key of the organisation "withdrawn" once that has been withdrawn.
std::string configuration(int version, bool isKeyWithdrawn)
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
    nlohmann::json withdrawn { { "Name", "withdrawn" } };
    withdrawn["ApiKeys"] = isKeyWithdrawn ? nlohmann::json::array() : nlohmann::json::array({ keyOf("withdrawn") });
    nlohmann::json result;
    result["Version"] = version;
    result["Routes"] = nlohmann::json::array({ search, record });
    result["Services"] = services;
    result["Tenants"] = nlohmann::json::array({ limited, unlimited, withdrawn });
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

/// The back ends and the store, which run in a thread of their own.
struct Surroundings
{
    /// With one zone, endpoints make statements. With several, shards are relayed, which does not show which instance
    /// has sent them, so that statements could not be checked; a proxy disturbs the connections to the endpoints and
    /// the store instead.
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
        addresses.push_back(this->store.address());
        if (zones > 1) {
            this->proxy = std::make_unique<SoakProxy>(addresses, folder);
        }
        this->store.set("op/config", configuration(1, false));
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            this->store.set("servers/" + this->endpoints[index]->id(), this->entryOf(index, 0));
        }
        this->thread = std::thread([this] { this->io.run(); });
    }

    ~Surroundings()
    {
        this->io.stop();
        this->thread.join();
    }

    /// The entry of an endpoint in the store, for its start with this number.
    std::string entryOf(std::size_t index, int start) const
    {
        const EndpointStandin &endpoint = *this->endpoints[index];
        return endpoint.entry(this->proxy ? this->proxy->addressOf(index) : endpoint.address(), start);
    }

    /// The address under which the instances reach the store.
    std::string storeAddress() const
    {
        return this->proxy ? this->proxy->addressOf(this->endpoints.size()) : this->store.address();
    }

    /// Changes the store and returns after it has accepted the change. Thread safety: any thread but that of the store.
    void inStore(const std::function<void(StoreStandin &)> &change)
    {
        std::promise<void> done;
        boost::asio::post(this->io, [&] {
            change(this->store);
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { io.get_executor() };
    StoreStandin store;
    std::vector<std::unique_ptr<EndpointStandin>> endpoints;
    std::unique_ptr<SoakProxy> proxy;
    std::thread thread;
};

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// With each third seed, the store comes back from a copy that it made before it went away.
bool restoresCopy(unsigned seed)
{
    return seed % 3 == 0;
}

/// Takes the store away for some time, at most once every few seconds.
void disturbStore(Surroundings &surroundings, Observations &observations, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> pause(1, 4);
    std::uniform_real_distribution<double> rewriteDelay(0.2, 1.5);
    while (elapsedSeconds() + pause.max() < until) {
        surroundings.inStore([](StoreStandin &store) { store.makeCopy(); });
        sleepFor(pause(random));
        const double from = elapsedSeconds();
        surroundings.inStore([](StoreStandin &store) { store.setDown(true); });
        sleepFor(pause(random));
        if (restoresCopy(seed)) {
            surroundings.inStore([](StoreStandin &store) { store.restoreCopy(); });
        }
        surroundings.inStore([](StoreStandin &store) { store.setDown(false); });
        observations.record(StoreOutage { from, elapsedSeconds() });
        if (restoresCopy(seed)) {
            sleepFor(rewriteDelay(random));
            surroundings.inStore([](StoreStandin &store) { store.rewriteLost(); });
        }
    }
}

/// Publishes new versions of the configuration, at times in quick succession. At some moment, a key is withdrawn.
void changeConfiguration(Surroundings &surroundings, Observations &observations, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> pause(0.1, 2);
    std::uniform_real_distribution<double> withdrawalDelay(1, 5);
    const double withdrawalAt = elapsedSeconds() + withdrawalDelay(random);
    bool isKeyWithdrawn = false;
    for (int version = 2; elapsedSeconds() < until; ++version) {
        sleepFor(pause(random));
        const bool isWithdrawal = !isKeyWithdrawn && elapsedSeconds() >= withdrawalAt;
        isKeyWithdrawn = isKeyWithdrawn || isWithdrawal;
        const std::string value = configuration(version, isKeyWithdrawn);
        surroundings.inStore([&value](StoreStandin &store) { store.set("op/config", value); });
        if (isWithdrawal) {
            observations.record(KeyWithdrawal { "withdrawn", elapsedSeconds() });
        }
    }
}

/// Removes endpoints from the store, one after the other, and registers each again as a new start some seconds later.
void replaceEndpoints(Surroundings &surroundings, Observations &observations, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> absence(3, 6);
    for (int start = 1; elapsedSeconds() < until; ++start) {
        const std::size_t index = random() % surroundings.endpoints.size();
        const std::string id = surroundings.endpoints[index]->id();
        surroundings.inStore([&id](StoreStandin &store) { store.erase("servers/" + id); });
        const double from = elapsedSeconds();
        sleepFor(absence(random));
        // The instances may use the endpoint from the moment at which it is written.
        observations.record(EndpointRemoval { id, from, elapsedSeconds() });
        const std::string entry = surroundings.entryOf(index, start);
        surroundings.inStore([&](StoreStandin &store) {
            surroundings.endpoints[index]->restart();
            store.set("servers/" + id, entry);
        });
    }
}

/// Disturbs the connections to the endpoints and the store in series.
void disturbConnections(SoakProxy &proxy, unsigned seed, double until)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> pause(0, 1);
    while (elapsedSeconds() < until) {
        sleepFor(pause(random));
        proxy.disturb(random);
    }
}

/// Lets a zone lose power once: its instances are killed and its endpoints fall silent. The zone of the instance that
/// is never disturbed is spared.
void loseZone(SoakFleet &fleet, Surroundings &surroundings, Observations &observations, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> duration(1, 3);
    sleepFor(duration(random));
    std::string zone = zoneOf(static_cast<int>(random() % manyZones), manyZones);
    if (zone == zoneOf(fleet.size() - 1, manyZones)) {
        zone = zoneOf(fleet.size(), manyZones);
    }
    const auto forEachEndpoint = [&](void (SoakProxy::*change)(std::size_t)) {
        for (std::size_t index = 0; index < surroundings.endpoints.size(); ++index) {
            if (surroundings.endpoints[index]->zone() == zone) {
                (*surroundings.proxy.*change)(index);
            }
        }
    };
    forEachEndpoint(&SoakProxy::silence);
    fleet.loseZone(zone, duration(random), observations);
    forEachEndpoint(&SoakProxy::heal);
}

void disturbAndCall(SoakFleet &fleet, Surroundings &surroundings, Observations &observations, unsigned seed)
{
    const double until = elapsedSeconds() + FLAGS_seconds;
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < FLAGS_callers; ++caller) {
        callers.emplace_back(
            [&, caller] { runCaller(fleet, observations, 1000 * seed + static_cast<unsigned>(caller), stop); });
    }
    sleepFor(calmSeconds);
    std::vector<std::thread> faults;
    // Whether an endpoint that has left the store still gets requests can be checked only while the store answers, and
    // without relays, which do not show which instance has sent a request.
    if (!surroundings.proxy && seed % 4 == 2) {
        faults.emplace_back([&] { replaceEndpoints(surroundings, observations, seed, until); });
    } else {
        faults.emplace_back([&] { disturbStore(surroundings, observations, seed, until); });
    }
    faults.emplace_back([&] { changeConfiguration(surroundings, observations, seed, until); });
    faults.emplace_back([&] { disturbInstances(fleet, observations, 2 * seed, 0, until); });
    faults.emplace_back([&] { disturbInstances(fleet, observations, 2 * seed + 1, 1, until); });
    if (surroundings.proxy) {
        faults.emplace_back([&] { disturbConnections(*surroundings.proxy, seed, until); });
        faults.emplace_back([&] { loseZone(fleet, surroundings, observations, seed); });
    }
    for (std::thread &fault : faults) {
        fault.join();
    }
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
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
    const int zones = seed % 2 == 0 ? 1 : manyZones;
    Surroundings surroundings(observations, random, zones, folder);
    constexpr int firstNetwork = 20;
    constexpr int networkCount = 200;
    SoakFleet fleet(FLAGS_program,
                    FLAGS_instances,
                    zones,
                    firstNetwork + static_cast<int>(seed) % networkCount,
                    surroundings.storeAddress(),
                    folder);
    for (int instance = 0; instance < fleet.size(); ++instance) {
        fleet.start(instance);
    }
    if (!fleet.waitUntilReady()) {
        std::cout << "seed " << seed << ": an instance did not become ready\n";
        return false;
    }
    disturbAndCall(fleet, surroundings, observations, seed);
    std::vector<std::string> violations = findViolations(
        observations, { shardCount, limitedOrganisationRate, limitedOrganisationBurst, revocationMs / 1000.0 });
    for (const std::string &ended : fleet.findEndedInstances()) {
        violations.push_back("FAULT: " + ended);
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
