#pragma once

#include "core/manualclock.h"
#include "forwarding/messages.h"
#include "forwarding/simulationplan.h"

#include <deque>
#include <map>

namespace Lycheewall
{

/// One request in flight to one simulated endpoint.
struct SimulatedCall : public OutgoingCall
{
    void cancel(Duration gracePeriod) override;
    void deliver(const CallOutcome &outcome);

    ManualClock *clock = nullptr;
    std::function<void(CallOutcome)> done;
    /// Removes the request from the server's queue or slot, as the server does when its connection is closed.
    std::function<void()> removeFromServer;
    EndpointPtr endpoint;
    std::size_t instance = 0;
    TimePoint sentAt;
    double serviceTimeMs = 0;
    double delayMs = 0;
    bool cancelled = false;
    bool running = false;
    Subscription timer;
    Subscription graceTimer;
};

/// An endpoint with a limited number of slots and a bounded queue.
class SimulatedServer
{
public:
    /// Preconditions: @p simulationPlan and @p simulationClock outlive the server; the simulation begins now.
    SimulatedServer(const SimulationPlan &simulationPlan,
                    ManualClock &simulationClock,
                    std::size_t shardNumber,
                    std::size_t endpointNumber,
                    double pausePhase);

    static ServiceId serviceOf(std::size_t shard);

    void receive(const std::shared_ptr<SimulatedCall> &call);

    /// The load as it is now, with the factor of everything that affects the time of work.
    LoadReport exactLoad() const;

    /// See SimulationResult::maxLimitUsage.
    double maxLimitUsage() const;

    const std::size_t zone;
    EndpointRecord record;

private:
    double elapsedSeconds() const;
    std::optional<double> currentLimit() const;
    void recordArrival(std::size_t instance);
    bool isDown() const;
    /// True if the server rejects the next request regardless of its load.
    bool rejectsNext();
    void remove(const std::shared_ptr<SimulatedCall> &call);
    void freeSlot(const std::shared_ptr<SimulatedCall> &call);
    void start(const std::shared_ptr<SimulatedCall> &call);
    void complete(const std::shared_ptr<SimulatedCall> &call);
    double workFactor(double second) const;
    double slowdown(double second) const;
    /// Time that work takes which begins now, through all changes of the work factor.
    double withWorkFactor(double serviceTimeMs) const;
    double withPauses(double serviceTimeMs) const;
    void sendResponse(const std::shared_ptr<SimulatedCall> &call, const CallOutcome &outcome);
    void applyResponse(SimulatedCall &call, const LoadReport &report, const RateLimitStatement &statement);

    const SimulationPlan &plan;
    ManualClock &clock;
    const TimePoint startedAt;
    const std::size_t shard;
    const std::size_t index;
    const double pausePhaseMs;
    int running = 0;
    /// Requests that are still to be rejected: the sum of the rejected fractions, less the rejected requests.
    double rejectionsDue = 0;
    std::deque<std::shared_ptr<SimulatedCall>> queue;
    std::optional<double> limitNamedAt;
    /// When each instance first got a response with the limit.
    std::map<std::size_t, double> toldAt;
    /// Arrivals from instances that knew the limit for half a second.
    std::vector<double> limitedArrivals;
};

}
