#pragma once

#include "forwarding/exchange.h"
#include "forwarding/simulatedserver.h"

#include <memory>
#include <random>

namespace Lycheewall
{

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
    class Sender;
    struct Instance;
    struct Arrival
    {
        std::size_t instance = 0;
        std::size_t kind = 0;
        std::size_t organisation = 0;
        /// When the caller sent its first attempt, and this one.
        double second = 0;
        TimePoint at;
        TimePoint deadline;
        int repeats = 0;
    };

    void addDefaultKind();
    void buildTable();
    Route routeOf(const SimulatedKind &kind, std::size_t number) const;
    void buildServers();
    void buildInstances();
    void scheduleArrivals();
    void scheduleArrivals(std::size_t kind);
    std::size_t drawOrganisation();
    void arrive(Arrival arrival);
    /// Lets the caller send the request once more after a refusal, if it does so.
    bool repeat(const Arrival &arrival, const ForwardReply &reply);
    void updateExactLoads(std::size_t instance);
    void gossipSlowEndpoints();
    void gossipRequestRates();
    void summarizeLatencies();
    void recordReply(const Arrival &arrival, const ForwardReply &reply);
    void recordKindResult(const Arrival &arrival, const ForwardReply &reply);
    double elapsedSeconds() const;
    double drawServiceTimeMs(double meanMs);
    void recordSend(const ServiceId &service, bool isExtraAttempt);
    double maxBudgetUsage() const;
    double maxLimitUsage() const;

    SimulationPlan plan;
    ManualClock clock;
    std::mt19937_64 engine;
    TimePoint start;
    std::shared_ptr<const RouteTable> table;
    std::vector<std::unique_ptr<SimulatedServer>> servers;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Subscription> arrivals;
    Subscription gossipTimer;
    Subscription rateGossipTimer;
    std::uint64_t nextRequest = 1;
    SimulationResult result;
    double creditSum = 0;
    std::vector<double> latenciesMs;
    struct SendTimes
    {
        std::vector<double> firstAttempts;
        std::vector<double> extraAttempts;
    };
    std::map<ServiceId, SendTimes> sendTimes;
    std::map<std::string, int> sendsByRequest;
};

}
