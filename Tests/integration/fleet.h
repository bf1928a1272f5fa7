#pragma once

#include "process.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace Integration
{

struct FleetOptions
{
    /// Folder under examples/.
    std::string deployment = "songlam";
    int daemons = 6;
    /// How long callers keep addresses; short, so that a leaving daemon ends soon.
    int keepMs = 2000;
    /// Further arguments of standin_endpoints.
    std::vector<std::string> endpointArguments { "--straggler_share", "0.01" };
    std::uint64_t seed = 1;
};

/// One group of callers with one key.
struct CallerStream
{
    std::string organisation;
    std::string pool;
    /// "query", "request" or "once" (must not be repeated).
    std::string kind;
    double rate = 0;
};

/// Callers that run beside the test.
class CallerRun
{
public:
    CallerRun(Process started, std::string outputFile);
    /// Waits for the end and returns the last line of the output.
    nlohmann::json finish(std::chrono::milliseconds bound);
    /// The interval lines of the output, after finish().
    std::vector<nlohmann::json> intervals() const;

private:
    Process process;
    std::string output;
};

/// The platform, the endpoints and some daemons as real processes on loopback. Daemons are numbered from 0.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &fleetOptions);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void startDaemon(int number);
    Process &daemon(int number);
    int size() const;
    /// Waits until each daemon is ready and each resource has an owner.
    bool awaitReady(std::chrono::milliseconds bound);

    /// The operators' view of a daemon; null when it does not answer.
    nlohmann::json state(int number) const;
    /// Sum of a counter over all daemons that answer.
    std::uint64_t counter(const std::string &fullName) const;
    std::uint64_t counterOf(int number, const std::string &fullName) const;
    /// Daemons that announce the lease now.
    std::vector<int> holders(const std::string &resource) const;

    /// Publishes a new version and returns it.
    int publishCatalogue(const std::string &text);
    int publishInstances(const std::vector<int> &listed);
    std::string catalogue() const;
    /// "ok", "down", "stale" or "slow?ms=N".
    void platformMode(const std::string &mode);
    nlohmann::json platformCalls() const;
    /// True when each of these daemons has the value's version in force within @p bound.
    bool awaitVersion(const std::vector<int> &numbers,
                      const std::string &name,
                      int version,
                      std::chrono::milliseconds bound) const;

    /// "all/x/restart", "zone/sl-a/drain" and so on.
    void endpoints(const std::string &command);
    nlohmann::json endpointStats() const;
    /// Sum of a statistic over all endpoints.
    std::uint64_t endpointSum(const std::string &name) const;

    std::shared_ptr<CallerRun>
    callers(const std::vector<CallerStream> &streams, double seconds, const std::vector<std::string> &more = {});
    /// Runs the independent checker over the endpoints' and the callers' logs; its summary line.
    nlohmann::json checkLogs(std::string &violations);

    std::string keyOf(const std::string &organisation) const;
    std::string callerAddress(int number) const;
    std::vector<int> allDaemons() const;
    const std::string &folder() const;

private:
    std::string operatorAddress(int number) const;
    std::string instanceName(int number) const;
    std::string instanceListText(const std::vector<int> &listed) const;
    nlohmann::json ask(const std::string &address,
                       const std::string &method,
                       const std::string &target,
                       const std::string &body) const;

    FleetOptions options;
    std::string directory;
    std::string catalogueText;
    std::vector<std::string> zones;
    Process platform;
    Process endpointHost;
    std::map<int, Process> daemons;
    int callerRuns = 0;
};

}
