#pragma once

#include "httpserver.h"
#include "runlog.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>

namespace Standins
{

/// Identity and behaviour of one endpoint.
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
    /// Number of documents of this endpoint's shard by snapshot version.
    std::map<std::uint64_t, std::uint64_t> documents;
    double serviceMs = 10;
    double stragglerFraction = 0;
    double stragglerFactor = 20;
    double connectMs = 0;
    double coldMs = 0;
    std::size_t queueBound = 32;
    std::uint64_t seed = 1;
    /// API keys that must not appear in any header or body.
    std::vector<std::string> callerKeys;
};

/**
 * One simulated endpoint with slots, a queue, a connection limit, cold starts and index versions. Commands change its
 * behaviour and inject faults. Thread safety: only the thread of its io_context.
 */
class EndpointServer
{
public:
    EndpointServer(boost::asio::io_context &context, EndpointSettings settings, RunLog &log);

    /// Starts to listen. Throws if the port is in use.
    void listen();
    const EndpointSettings &settings() const;
    /// Executes a command of the control port. Returns an error message, or "" on success.
    std::string command(const std::string &name, const RequestTarget &target, const std::string &body);
    nlohmann::json stats() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Run;
    using RunPointer = std::shared_ptr<Run>;
    using Command = void (*)(EndpointServer &, const RequestTarget &, const std::string &);

    static const std::map<std::string, Command> &commands();
    void handleRequest(const ConnectionPointer &connection, const HttpRequest &request);
    bool acceptConnection(const ConnectionPointer &connection);
    void countLeakedKeys(const HttpRequest &request);
    RunPointer makeRun(const ConnectionPointer &connection, const HttpRequest &request);
    void admit(const RunPointer &run);
    /// Returns the reason for which the run is rejected, or "" if it is accepted. A run above the cold slots is counted
    /// and starts the overload of the endpoint.
    std::string rejectionReason(const Run &run);
    void start(const RunPointer &run);
    void finish(const RunPointer &run);
    void reject(const RunPointer &run, const std::string &reason);
    /// Ends a waiting or started run without a response. Returns true if it had started.
    bool cancel(const RunPointer &run, const std::string &reason);
    void remove(const RunPointer &run);
    void cancelAll(const std::string &reason);
    void startQueued();
    void restart(double coldMs);
    void publishSnapshot(const RequestTarget &target, const std::string &body);
    bool isCold() const;
    int capacity() const;
    Clock::duration serviceTime();
    nlohmann::json health();
    void log(const Run &run, const char *event, const std::string &reason);

    boost::asio::io_context &context;
    EndpointSettings ownSettings;
    RunLog &runLog;
    HttpServer server;
    std::mt19937_64 random;
    std::string incarnation;
    std::set<std::uint64_t> versions;
    /// The waiting or started run of each connection.
    std::map<ConnectionPointer, RunPointer> runByConnection;
    std::map<std::string, RunPointer> runByAttempt;
    std::deque<RunPointer> queue;
    int running = 0;
    double serviceTimeFactor = 1;
    bool draining = false;
    bool shedding = false;
    bool respondsAboveCap = false;
    Clock::time_point coldUntil {};
    Clock::time_point overloadedUntil {};
    std::chrono::milliseconds healthMaxAge { 0 };
    Clock::time_point healthReportTime {};
    nlohmann::json healthReport;
    nlohmann::json healthOverrides = nlohmann::json::object();

    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t capViolations = 0;
    std::uint64_t coldViolations = 0;
    std::uint64_t leakedKeys = 0;
    int maxConcurrent = 0;
    std::size_t maxConnections = 0;
    std::int64_t lastStart = 0;
};

}
