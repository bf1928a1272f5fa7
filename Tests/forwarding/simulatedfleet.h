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

/// What is simulated: a fleet of instances in front of the shards of one index.
struct SimulationPlan
{
    std::size_t zones = 3;
    std::size_t instances = 6;
    std::size_t shards = 10;
    std::size_t endpointsPerShard = 3;
    int slots = 6;
    std::size_t queueLimit = 12;
    double requestsPerSecond = 135;
    double workMs = 28;
    double workSpread = 0.35;
    double tailShare = 0.01;
    double tailFactor = 5;
    double pauseMs = 0;
    double pauseEveryMs = 6000;
    double zoneDelayMs = 1.4;
    /// One way between a caller and an instance.
    double callerDelayMs = 1;
    Duration objective = Milliseconds(200);
    Duration timeout = Milliseconds(1200);
    double minShardRatio = 0.89;
    int maxAttempts = 2;
    FleetRetryLimits repeats { 0.2, 52, std::chrono::seconds(10) };
    /// Time between two messages in which instances tell each other of slow endpoints; 0: they tell nothing.
    Duration tellPeriod {};
    double seconds = 20;
    /// Results of earlier requests are not counted.
    double countFrom = 0;
    std::uint64_t seed = 1;
    /// Factor on the work of an endpoint at a time in seconds; 1 when empty.
    std::function<double(std::size_t shard, std::size_t endpoint, double second)> slowness;
    /// True while an endpoint loses connections and answers nothing.
    std::function<bool(std::size_t shard, std::size_t endpoint, double second)> down;
};

/// What callers and endpoints have seen.
struct SimulationResult
{
    std::size_t requests = 0;
    std::size_t inObjective = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t withMissingParts = 0;
    /// Mean of the squared share of the shards, 0 for late and refused requests.
    double credit = 0;
    /// Sends beyond the first for each request and shard, relative to the allowed ones; at the worst service and
    /// window.
    double worstBudgetUse = 0;
    std::size_t sends = 0;
    std::size_t otherZoneSends = 0;
};

/**
 * Plays requests on a manual clock through the forwarding code, against endpoints with slots, queues, pauses and
 * stragglers. Nothing uses a network; the same plan gives the same result.
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
    class Caller;
    struct Instance;

    void buildTable();
    void buildServers();
    void buildInstances();
    void scheduleArrivals();
    void arrive(std::size_t instance);
    void tellOfSlowEndpoints();
    void noteReply(double arrivedSecond, TimePoint arrivedAt, const ForwardReply &reply);
    double second() const;
    double workMs();
    void noteSend(const ServiceId &service, bool repeat);
    double worstBudgetUse() const;

    SimulationPlan plan;
    ManualClock clock;
    std::mt19937_64 engine;
    TimePoint start;
    std::shared_ptr<const RouteTable> table;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Subscription> arrivals;
    Subscription telling;
    std::uint64_t nextRequest = 1;
    SimulationResult result;
    double creditSum = 0;
    struct Sends
    {
        std::vector<double> firstAt;
        std::vector<double> repeatAt;
    };
    std::map<ServiceId, Sends> sends;
    std::map<std::string, int> sendsByRequest;
};

}
