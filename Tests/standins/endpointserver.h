#pragma once

#include "httpserver.h"
#include "runlog.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>

namespace Standins
{

/// What one endpoint is and how it behaves.
struct EndpointSettings
{
    std::string id;
    std::string zone;
    std::string pool;
    std::string group;
    std::uint16_t port = 0;
    int slots = 1;
    int connections = 1;
    int coldSlots = 1;
    bool sharded = false;
    /// Documents of this endpoint's shard by snapshot version.
    std::map<std::uint64_t, std::uint64_t> documents;
    double serviceMs = 10;
    double stragglerShare = 0;
    double stragglerFactor = 20;
    double connectMs = 0;
    double coldMs = 0;
    std::size_t queueBound = 32;
    std::uint64_t seed = 1;
    /// Keys that must not appear in any header or body.
    std::vector<std::string> callerKeys;
};

/**
 * One endpoint of a back-end: slots, a queue, a connection cap, cold starts, index versions, and faults on command.
 * Thread safety: the thread of its io_context.
 */
class EndpointServer
{
public:
    EndpointServer(boost::asio::io_context &context, EndpointSettings settings, RunLog &log);

    /// Starts to listen. Throws when the port is taken.
    void listen();
    const EndpointSettings &settings() const;
    /// Executes a command of the control port and returns "" or what is wrong with it.
    std::string command(const std::string &name, const Target &target, const std::string &body);
    nlohmann::json stats() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Run;
    using RunPointer = std::shared_ptr<Run>;
    using Command = void (*)(EndpointServer &, const Target &, const std::string &);

    static const std::map<std::string, Command> &commands();
    void request(const ConnectionPointer &connection, const HttpRequest &request);
    bool acceptConnection(const ConnectionPointer &connection);
    void inspect(const HttpRequest &request);
    RunPointer makeRun(const ConnectionPointer &connection, const HttpRequest &request);
    void arrive(const RunPointer &run);
    /// The reason not to run, or "".
    std::string refusal(const Run &run);
    void begin(const RunPointer &run);
    void finish(const RunPointer &run);
    void refuse(const RunPointer &run, const std::string &reason);
    /// Ends a run that waits or runs, without an answer. Returns true when it had started.
    bool cancel(const RunPointer &run, const std::string &reason);
    void forget(const RunPointer &run);
    void cancelAll(const std::string &reason);
    void startQueued();
    void restart(double coldMs);
    void snapshot(const Target &target, const std::string &body);
    bool isCold() const;
    int capacity() const;
    Clock::duration serviceTime();
    nlohmann::json health();
    void log(const Run &run, const char *event, const std::string &reason);

    boost::asio::io_context &context;
    EndpointSettings own;
    RunLog &runLog;
    HttpServer server;
    std::mt19937_64 random;
    std::string incarnation;
    std::set<std::uint64_t> versions;
    /// The run of each connection, whether it waits or runs.
    std::map<ConnectionPointer, RunPointer> active;
    std::map<std::string, RunPointer> attempts;
    std::deque<RunPointer> queue;
    int running = 0;
    double scale = 1;
    bool draining = false;
    bool shedding = false;
    bool answersAboveCap = false;
    Clock::time_point coldUntil {};
    Clock::time_point fallenUntil {};
    std::chrono::milliseconds healthLag { 0 };
    Clock::time_point healthTaken {};
    nlohmann::json healthReport;
    nlohmann::json falseHealth = nlohmann::json::object();

    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t capViolations = 0;
    std::uint64_t coldViolations = 0;
    std::uint64_t keyHeaders = 0;
    int maxConcurrent = 0;
    std::size_t maxConnections = 0;
    std::int64_t lastStart = 0;
};

}
