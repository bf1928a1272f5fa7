#pragma once

#include "core/counters.h"
#include "core/manualclock.h"
#include "forwarding/exchange.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace Lycheewall
{

/// Parameters of a simulation: a fleet of instances in front of the shards of one index.
struct SimulationPlan
{
    std::size_t zones = 3;
    std::size_t instances = 6;
    /// Instances to which callers send their requests; the others are idle. All if 0.
    std::size_t instancesWithCallers = 0;
    /// From this time on, the callers are at the last instances instead of the first; never if 0.
    double callersMoveAtSecond = 0;
    /// Interval at which the instances report their request rates to each other, which determine their shares of the
    /// endpoints' rate limits; with 0, the shares are even.
    Duration rateGossipInterval {};
    std::size_t shards = 10;
    std::size_t endpointsPerShard = 3;
    int slots = 6;
    std::size_t queueLimit = 12;
    double requestsPerSecond = 135;
    double serviceTimeMs = 28;
    double serviceTimeSigma = 0.35;
    double tailFraction = 0.01;
    double tailFactor = 5;
    double pauseMs = 0;
    double pausePeriodMs = 6000;
    double zoneDelayMs = 1.4;
    /// One-way network delay between a caller and an instance.
    double callerDelayMs = 1;
    Duration objective = Milliseconds(200);
    Duration timeout = Milliseconds(1200);
    double minShardRatio = 0.89;
    int maxAttempts = 2;
    FleetRetryLimits retryLimits { 0.2, 52, std::chrono::seconds(10) };
    /// Interval at which the instances report slow endpoints to each other; 0 disables the reports.
    Duration gossipInterval {};
    double durationSeconds = 20;
    /// Requests that arrive earlier are not counted in the result.
    double warmUpSeconds = 0;
    std::uint64_t seed = 1;
    /// Factor on the service time of an endpoint at a time in seconds; 1 if empty.
    std::function<double(std::size_t shard, std::size_t endpoint, double second)> slowdown;
    /// True while an endpoint loses its connections and does not respond; never down if empty.
    std::function<bool(std::size_t shard, std::size_t endpoint, double second)> isDown;
    /// Rate limit in requests per second that an endpoint names in its responses; none if empty.
    std::function<std::optional<double>(std::size_t shard, std::size_t endpoint, double second)> rateLimit;
};

/// Measurements of the callers and endpoints.
struct SimulationResult
{
    std::size_t requests = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t partial = 0;
    /// Mean over all requests of the squared fraction of shards in the reply; late and refused requests count as 0.
    double credit = 0;
    /// Number of extra attempts relative to the number that the retry budget allows, for the service and window with
    /// the highest ratio.
    double maxBudgetUsage = 0;
    /// Number of requests in 4 seconds that an endpoint got from instances that knew its rate limit for half a second,
    /// relative to what the users allow (1.5 times the limit, and 5), for the endpoint and window with the highest
    /// ratio. Counted from 4 s after the endpoint first named the limit.
    double maxLimitUsage = 0;
    std::size_t sends = 0;
    std::size_t crossZoneSends = 0;
};

/**
 * Runs requests through the forwarding code on a manual clock, against simulated endpoints with slots, queues, pauses
 * and stragglers. Uses no network; the same plan always gives the same result.
 */
class SimulatedFleet
{
public:
    explicit SimulatedFleet(SimulationPlan plan);
    ~SimulatedFleet();
    SimulationResult run();

private:
    struct Job;
    struct Server;
    class Sender;
    struct Instance;

    void buildTable();
    void buildServers();
    void buildInstances();
    void scheduleArrivals();
    void arrive(std::size_t instance);
    void gossipSlowEndpoints();
    void gossipRequestRates();
    void recordReply(double arrivalSeconds, TimePoint arrivedAt, const ForwardReply &reply);
    double elapsedSeconds() const;
    double drawServiceTimeMs();
    void recordSend(const ServiceId &service, bool isExtraAttempt);
    double maxBudgetUsage() const;
    double maxLimitUsage() const;

    SimulationPlan plan;
    ManualClock clock;
    std::mt19937_64 engine;
    TimePoint start;
    std::shared_ptr<const RouteTable> table;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Subscription> arrivals;
    Subscription gossipTimer;
    Subscription rateGossipTimer;
    std::uint64_t nextRequest = 1;
    SimulationResult result;
    double creditSum = 0;
    struct SendTimes
    {
        std::vector<double> firstAttempts;
        std::vector<double> extraAttempts;
    };
    std::map<ServiceId, SendTimes> sendTimes;
    std::map<std::string, int> sendsByRequest;
};

}
