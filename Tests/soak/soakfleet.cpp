#include "soakfleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <sys/time.h>
#include <thread>

namespace Soak
{

namespace
{

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr int callerPort = 21363;
constexpr int readyPort = 21364;
constexpr int directoryPort = 21365;
constexpr int peerPort = 21366;
constexpr int callerDeadlineMs = 800;
constexpr double meanThinkMs = 60;
/// A caller gives up on a reply after this time.
constexpr timeval replyTimeout { 2, 0 };
/// A restarted instance has joined the others after this time.
constexpr double joinSeconds = 4;
constexpr std::chrono::seconds shutdownBound { 8 };
constexpr std::chrono::seconds startBound { 10 };

const std::vector<std::string> organisations { "limited", "unlimited", "withdrawn" };

/// A connection of a caller to one instance.
class CallerConnection
{
public:
    bool open(const std::string &address)
    {
        boost::system::error_code error;
        const auto host = boost::asio::ip::make_address(address, error);
        this->socket.connect({ host, callerPort }, error);
        if (error) {
            return false;
        }
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &replyTimeout, sizeof(replyTimeout));
        return true;
    }

    /// Returns std::nullopt if the connection ended without a complete reply.
    std::optional<http::response<http::string_body>> exchange(const http::request<http::string_body> &request)
    {
        boost::system::error_code error;
        http::response<http::string_body> response;
        http::write(this->socket, request, error);
        if (!error) {
            http::read(this->socket, this->buffer, response, error);
        }
        return error ? std::nullopt : std::optional(std::move(response));
    }

private:
    boost::asio::io_context io;
    Tcp::socket socket { io };
    boost::beast::flat_buffer buffer;
};

http::request<http::string_body> makeRequest(const CallerAttempt &attempt)
{
    const auto verb = attempt.isIdempotent ? http::verb::get : http::verb::post;
    http::request<http::string_body> request(verb, attempt.isIdempotent ? "/search/x" : "/record/x", 11);
    request.set(http::field::host, "soak.example");
    request.set("X-Lycheewall-Attempt-Id", attempt.attemptId);
    request.set("X-Lycheewall-Deadline-Ms", std::to_string(callerDeadlineMs));
    request.set(http::field::authorization, "Token " + keyOf(attempt.organisation));
    request.body() = attempt.isIdempotent ? "" : "record";
    request.prepare_payload();
    return request;
}

void applyResponse(const http::response<http::string_body> &response, CallerAttempt &attempt)
{
    attempt.status = static_cast<int>(response.result_int());
    const char *field = attempt.isIdempotent ? "X-Lycheewall-Part-Stamps" : "X-Lycheewall-Server-Stamp";
    attempt.partStamps = std::string(response[field]);
    attempt.missingParts = std::atoi(std::string(response["X-Lycheewall-Missing-Parts"]).c_str());
    attempt.body = response.body();
}

/// Size of a file; 0 if it does not exist.
std::uintmax_t sizeOf(const std::string &path)
{
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(path, error);
    return error ? 0 : size;
}

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

}

std::string zoneOf(int number, int zones)
{
    return "z" + std::to_string(number % zones);
}

std::string keyOf(const std::string &organisation)
{
    return "key-of-" + organisation;
}

SoakFleet::SoakFleet(std::string testedProgram,
                     int instances,
                     int zoneCount,
                     int networkNumber,
                     std::string store,
                     std::string workFolder)
    : program(std::move(testedProgram))
    , zones(zoneCount)
    , network(networkNumber)
    , storeAddress(std::move(store))
    , folder(std::move(workFolder))
    , processes(static_cast<std::size_t>(instances))
    , processMutexes(static_cast<std::size_t>(instances))
    , logSizeAtStart(static_cast<std::size_t>(instances))
{
}

int SoakFleet::size() const
{
    return static_cast<int>(this->processes.size());
}

std::string SoakFleet::address(int instance, int port) const
{
    return "127." + std::to_string(this->network) + ".1." + std::to_string(instance + 1)
        + (port == 0 ? std::string() : ":" + std::to_string(port));
}

std::string SoakFleet::callerAddress(int instance) const
{
    return this->address(instance, 0);
}

std::string SoakFleet::settings(int instance) const
{
    const auto line = [](const std::string &name, const std::string &value) {
        return name + ": \"" + value + "\"\n";
    };
    return line("NodeName", "instance-" + std::to_string(instance)) + line("Ip", this->address(instance, 0))
        + line("Zone", zoneOf(instance, this->zones)) + "ListenAddresses:\n  "
        + line("Front", this->address(instance, callerPort)) + "  " + line("Ready", this->address(instance, readyPort))
        + "  " + line("directory", this->address(instance, directoryPort)) + "InternalPortRange: ["
        + std::to_string(peerPort) + ", " + std::to_string(peerPort + 9) + "]\nSeedNodes: [\"" + this->address(0, 1)
        + "\", \"" + this->address(1, 1) + "\"]\nBounds:\n  RetryBudgetRatio: 0.2\n"
        + "  BudgetSlack: 56\n  GracePeriodS: 6\n" + "  StrictRevocation: true\n  RevocationMs: "
        + std::to_string(revocationMs) + "\nplatform:\n  " + line("Address", this->storeAddress);
}

void SoakFleet::start(int instance)
{
    const std::string settingsFile = this->folder + "/instance-" + std::to_string(instance) + ".yaml";
    Integration::writeFile(settingsFile, this->settings(instance));
    const auto index = static_cast<std::size_t>(instance);
    this->logSizeAtStart[index] = sizeOf(this->logFile(instance));
    const std::lock_guard<std::mutex> lock(this->startMutex);
    ::setenv("LYCHEEWALL_CONFIG", settingsFile.c_str(), 1);
    this->processes[index] = Integration::Process(this->program, {}, this->logFile(instance));
}

std::string SoakFleet::logFile(int instance) const
{
    return this->folder + "/instance-" + std::to_string(instance) + ".log";
}

bool SoakFleet::hasLogged(int instance) const
{
    return sizeOf(this->logFile(instance)) > this->logSizeAtStart[static_cast<std::size_t>(instance)];
}

bool SoakFleet::waitUntilReady()
{
    for (int instance = 0; instance < this->size(); ++instance) {
        const auto isReady = [this, instance] {
            return Integration::readFile(this->logFile(instance)).find("Ready to serve requests") != std::string::npos;
        };
        if (!Integration::waitFor(isReady, startBound)) {
            return false;
        }
    }
    return true;
}

void SoakFleet::disturb(int instance, std::mt19937 &random, Observations &observations)
{
    enum Action { Pause, Kill, Restart, Reload };
    std::uniform_real_distribution<double> duration(0.2, 1.5);
    const std::lock_guard<std::mutex> lock(this->processMutexes[static_cast<std::size_t>(instance)]);
    Integration::Process &process = this->processes[static_cast<std::size_t>(instance)];
    const double from = elapsedSeconds();
    switch (std::uniform_int_distribution<int>(Pause, Reload)(random)) {
    case Reload:
        // Not a fault: nothing may be lost.
        Integration::waitFor([&] { return this->hasLogged(instance); }, startBound);
        process.signal(SIGHUP);
        return;
    case Pause:
        process.signal(SIGSTOP);
        sleepSeconds(duration(random));
        process.signal(SIGCONT);
        break;
    case Kill:
        process.signal(SIGKILL);
        process.wait(shutdownBound);
        sleepSeconds(duration(random));
        this->start(instance);
        break;
    default:
        process.signal(SIGTERM);
        process.wait(shutdownBound);
        this->start(instance);
        break;
    }
    observations.record(InstanceFault { instance, from, elapsedSeconds() + joinSeconds });
}

void SoakFleet::loseZone(const std::string &zone, double seconds, Observations &observations)
{
    std::vector<std::unique_lock<std::mutex>> locks;
    std::vector<int> lost;
    for (int instance = 0; instance < this->size(); ++instance) {
        if (zoneOf(instance, this->zones) == zone) {
            locks.emplace_back(this->processMutexes[static_cast<std::size_t>(instance)]);
            lost.push_back(instance);
        }
    }
    const double from = elapsedSeconds();
    for (const int instance : lost) {
        this->processes[static_cast<std::size_t>(instance)].signal(SIGKILL);
    }
    sleepSeconds(seconds);
    for (const int instance : lost) {
        this->processes[static_cast<std::size_t>(instance)].wait(shutdownBound);
        this->start(instance);
        observations.record(InstanceFault { instance, from, elapsedSeconds() + joinSeconds });
    }
}

std::vector<std::string> SoakFleet::findEndedInstances()
{
    std::vector<std::string> ended;
    for (int instance = 0; instance < this->size(); ++instance) {
        Integration::Process &process = this->processes[static_cast<std::size_t>(instance)];
        const int status = process.wait(std::chrono::milliseconds(0));
        if (status >= 0) {
            ended.push_back("instance-" + std::to_string(instance) + " has ended by itself with status "
                            + std::to_string(status));
        }
    }
    return ended;
}

void runCaller(const SoakFleet &fleet, Observations &observations, unsigned seed, const std::atomic<bool> &stop)
{
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> anyInstance(0, fleet.size() - 1);
    std::exponential_distribution<double> think(1 / meanThinkMs);
    std::uniform_int_distribution<int> percent(1, 100);
    std::unique_ptr<CallerConnection> connection;
    int instance = 0;
    for (int number = 0; !stop; ++number) {
        sleepSeconds(think(random) / 1000);
        if (!connection || percent(random) <= 5) {
            instance = anyInstance(random);
            connection = std::make_unique<CallerConnection>();
            if (!connection->open(fleet.callerAddress(instance))) {
                connection.reset();
                continue;
            }
        }
        CallerAttempt attempt;
        attempt.sentAt = elapsedSeconds();
        attempt.instance = instance;
        attempt.attemptId = std::to_string(instance) + "-" + std::to_string(seed) + "-" + std::to_string(number);
        attempt.isIdempotent = percent(random) <= 85;
        attempt.organisation = organisations[random() % organisations.size()];
        const auto response = connection->exchange(makeRequest(attempt));
        attempt.endedAt = elapsedSeconds();
        if (response) {
            applyResponse(*response, attempt);
        }
        observations.record(attempt);
        if (!response || !response->keep_alive()) {
            connection.reset();
        }
    }
}

}
