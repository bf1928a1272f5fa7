#pragma once

#include "forwarding/fleetretrybudget.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lycheewall
{

/// An organisation in a simulation.
struct SimulatedOrganisation
{
    /// Fraction of all requests that its callers send.
    double fraction = 1;
    /// 0 is the highest.
    int priority = 0;
    /// Requests per second that it may send, which determine its fair share; 0 for no limit.
    double ratePerSecond = 0;
};

/// What the endpoints of a simulation tell about their load.
enum class LoadKnowledge {
    /// Requests that run and wait, with each response.
    Counts,
    /// Also their work factor.
    WorkFactors,
    /// All of it and their speed, at each arrival of a request at an instance, without delay.
    Exact,
};

/// A kind of request in a simulation. The requests of all kinds go to the same shards.
struct SimulatedKind
{
    std::string name;
    double requestsPerSecond = 0;
    double serviceTimeMs = 0;
    Duration objective {};
    Duration timeout {};
    double minShardRatio = 1;
    /// 0 is the highest.
    int priority = 0;
    /// Factor on the rate at a time in seconds; 1 if empty.
    std::function<double(double second)> rateFactor;
};

/// How callers repeat a request that was refused and has not run.
struct SimulatedRepeats
{
    int maxRepeats = 0;
    /// Callers wait for the time that the refusal names, but at most this fraction of the time they have left.
    double maxWaitFraction = 1.0 / 3;
};

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
    /// Kinds of requests; a single one with the rate, service time and objective of this plan if empty.
    std::vector<SimulatedKind> kinds;
    SimulatedRepeats repeats;
    /// Organisations whose callers send the requests; a single one of the highest priority if empty.
    std::vector<SimulatedOrganisation> organisations;
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
    /// Factor on the time that work takes at an endpoint at each moment; 1 if empty.
    std::function<double(std::size_t shard, std::size_t endpoint, double second)> workFactor;
    /// Work factor that an endpoint reports; the real one if empty.
    std::function<double(std::size_t shard, std::size_t endpoint, double second)> reportedFactor;
    /// With LoadKnowledge::WorkFactors, one of the two factors is set.
    LoadKnowledge loadKnowledge = LoadKnowledge::Counts;
    /// True while an endpoint loses its connections and does not respond; never down if empty.
    std::function<bool(std::size_t shard, std::size_t endpoint, double second)> isDown;
    /// Rate limit in requests per second that an endpoint names in its responses; none if empty.
    std::function<std::optional<double>(std::size_t shard, std::size_t endpoint, double second)> rateLimit;
    /// Fraction of the requests that an endpoint rejects at a time in seconds, whatever its load; 0 if empty.
    std::function<double(std::size_t shard, std::size_t endpoint, double second)> rejectedFraction;
};

/// Requests of one organisation and the replies to them.
struct OrganisationResult
{
    std::size_t requests = 0;
    /// Requests with a reply, complete or partial, on time or late.
    std::size_t served = 0;

    double servedFraction() const
    {
        return this->requests == 0 ? 1 : static_cast<double>(this->served) / static_cast<double>(this->requests);
    }
};

/// Requests of one kind by their result. A request that a caller repeats counts once.
struct KindResult
{
    std::size_t requests = 0;
    /// Replies to the first attempt on time.
    std::size_t onTime = 0;
    /// Replies to a repeat, within the objective from the repeat.
    std::size_t onTimeAfterRefusal = 0;
    std::size_t late = 0;
    /// Requests that were refused at last and have not run.
    std::size_t refused = 0;
    /// All other requests without a response of the required coverage.
    std::size_t failed = 0;

    double servedFraction() const
    {
        return this->requests == 0 ? 1
                                   : static_cast<double>(this->onTime + this->onTimeAfterRefusal + this->late)
                / static_cast<double>(this->requests);
    }

    /// Fraction of the requests with a reply on time, where one after a refusal counts half.
    double onTimeFraction() const
    {
        return this->requests == 0
            ? 1
            : (static_cast<double>(this->onTime) + static_cast<double>(this->onTimeAfterRefusal) / 2)
                / static_cast<double>(this->requests);
    }
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
    /// Mean latency of the replies as the callers see it, and the latency that 99 in 100 do not exceed.
    double meanLatencyMs = 0;
    double latency99Ms = 0;
    /// Number of extra attempts relative to the number that the retry budget allows, for the service and window with
    /// the highest ratio.
    double maxBudgetUsage = 0;
    /// Number of requests in 4 seconds that an endpoint got from instances that knew its rate limit for half a second,
    /// relative to what the users allow (1.5 times the limit, and 5), for the endpoint and window with the highest
    /// ratio. Counted from 4 s after the endpoint first named the limit.
    double maxLimitUsage = 0;
    /// In the order of SimulationPlan::organisations.
    std::vector<OrganisationResult> organisations;
    /// In the order of SimulationPlan::kinds.
    std::vector<KindResult> kinds;
    std::size_t sends = 0;
    std::size_t crossZoneSends = 0;
};

}
