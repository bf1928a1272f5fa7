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
        double second = 0;
        TimePoint at;
        std::size_t organisation = 0;
    };

    void buildTable();
    void buildServers();
    void buildInstances();
    void scheduleArrivals();
    std::size_t drawOrganisation();
    void arrive(std::size_t instance, std::size_t organisation);
    void updateExactLoads(std::size_t instance);
    void gossipSlowEndpoints();
    void gossipRequestRates();
    void summarizeLatencies();
    void recordReply(const Arrival &arrival, const ForwardReply &reply);
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
