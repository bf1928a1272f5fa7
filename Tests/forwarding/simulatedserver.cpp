#include "forwarding/simulatedserver.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

void SimulatedCall::cancel(Duration gracePeriod)
{
    this->done = nullptr;
    this->graceTimer = this->clock->after(gracePeriod, [this] {
        this->cancelled = true;
        if (this->removeFromServer) {
            this->removeFromServer();
        }
    });
}

void SimulatedCall::deliver(const CallOutcome &outcome)
{
    this->graceTimer.reset();
    if (this->done) {
        const auto callback = std::move(this->done);
        this->done = nullptr;
        callback(outcome);
    }
}

SimulatedServer::SimulatedServer(const SimulationPlan &simulationPlan,
                                 ManualClock &simulationClock,
                                 std::size_t shardNumber,
                                 std::size_t endpointNumber,
                                 double pausePhase)
    : zone(endpointNumber % simulationPlan.zones)
    , plan(simulationPlan)
    , clock(simulationClock)
    , startedAt(simulationClock.now())
    , shard(shardNumber)
    , index(endpointNumber)
    , pausePhaseMs(pausePhase)
{
    this->record.id = EndpointId(std::to_string(shardNumber) + "-" + std::to_string(endpointNumber));
    this->record.service = serviceOf(shardNumber);
    this->record.zone = ZoneId("zone-" + std::to_string(this->zone));
    this->record.slots = simulationPlan.slots;
}

ServiceId SimulatedServer::serviceOf(std::size_t shard)
{
    return ServiceId("shard-" + std::to_string(shard));
}

double SimulatedServer::elapsedSeconds() const
{
    return fractionalSeconds(this->clock.now() - this->startedAt);
}

std::optional<double> SimulatedServer::currentLimit() const
{
    return this->plan.rateLimit ? this->plan.rateLimit(this->shard, this->index, this->elapsedSeconds()) : std::nullopt;
}

void SimulatedServer::recordArrival(std::size_t instance)
{
    constexpr double reactionSeconds = 0.5;
    const double now = this->elapsedSeconds();
    const auto told = this->toldAt.find(instance);
    if (this->currentLimit() && told != this->toldAt.end() && now >= told->second + reactionSeconds) {
        this->limitedArrivals.push_back(now);
    }
}

double SimulatedServer::maxLimitUsage() const
{
    constexpr double windowSeconds = 4;
    constexpr double allowedFactor = 1.5;
    constexpr double allowedExtra = 5;
    double maxUsage = 0;
    const std::vector<double> &times = this->limitedArrivals;
    for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first < this->limitNamedAt.value_or(0) + windowSeconds) {
            continue;
        }
        const auto last = std::lower_bound(first, times.end(), *first + windowSeconds);
        const double limit = this->plan.rateLimit(this->shard, this->index, *first).value_or(0);
        const double allowed = allowedFactor * limit * windowSeconds + allowedExtra;
        maxUsage = std::max(maxUsage, static_cast<double>(last - first) / allowed);
    }
    return maxUsage;
}

bool SimulatedServer::isDown() const
{
    return this->plan.isDown && this->plan.isDown(this->shard, this->index, this->elapsedSeconds());
}

bool SimulatedServer::rejectsNext()
{
    this->rejectionsDue += this->plan.rejectedFraction
        ? this->plan.rejectedFraction(this->shard, this->index, this->elapsedSeconds())
        : 0;
    if (this->rejectionsDue < 1) {
        return false;
    }
    this->rejectionsDue -= 1;
    return true;
}

void SimulatedServer::receive(const std::shared_ptr<SimulatedCall> &call)
{
    if (call->cancelled) {
        return;
    }
    this->recordArrival(call->instance);
    if (this->isDown()) {
        CallOutcome outcome;
        outcome.result = CallResult::Lost;
        this->sendResponse(call, outcome);
        return;
    }
    if (this->rejectsNext()) {
        CallOutcome outcome;
        outcome.result = CallResult::NotRun;
        this->sendResponse(call, outcome);
        return;
    }
    call->removeFromServer = [this, weak = std::weak_ptr<SimulatedCall>(call)] {
        if (const auto removed = weak.lock()) {
            this->remove(removed);
        }
    };
    if (this->running < this->plan.slots) {
        this->start(call);
        return;
    }
    if (this->queue.size() < this->plan.queueLimit) {
        this->queue.push_back(call);
        return;
    }
    CallOutcome outcome;
    outcome.result = CallResult::NotRun;
    this->sendResponse(call, outcome);
}

void SimulatedServer::remove(const std::shared_ptr<SimulatedCall> &call)
{
    const auto position = std::find(this->queue.begin(), this->queue.end(), call);
    if (position != this->queue.end()) {
        this->queue.erase(position);
        return;
    }
    if (call->running) {
        call->timer.reset();
        this->freeSlot(call);
    }
}

void SimulatedServer::freeSlot(const std::shared_ptr<SimulatedCall> &call)
{
    call->running = false;
    --this->running;
    if (!this->queue.empty()) {
        const auto next = this->queue.front();
        this->queue.pop_front();
        this->start(next);
    }
}

void SimulatedServer::start(const std::shared_ptr<SimulatedCall> &call)
{
    call->running = true;
    ++this->running;
    const double slowdownNow = this->slowdown(this->elapsedSeconds());
    const double time = this->withPauses(this->withWorkFactor(call->serviceTimeMs * slowdownNow));
    call->timer = this->clock.after(fromMilliseconds(time), [this, call] { this->complete(call); });
}

double SimulatedServer::workFactor(double second) const
{
    return this->plan.workFactor ? this->plan.workFactor(this->shard, this->index, second) : 1;
}

double SimulatedServer::slowdown(double second) const
{
    return this->plan.slowdown ? this->plan.slowdown(this->shard, this->index, second) : 1;
}

double SimulatedServer::withWorkFactor(double serviceTimeMs) const
{
    if (!this->plan.workFactor) {
        return serviceTimeMs;
    }
    constexpr double stepMs = 5;
    double elapsedMs = 0;
    double remainingMs = serviceTimeMs;
    while (true) {
        const double factor = this->workFactor(this->elapsedSeconds() + elapsedMs / 1000);
        if (remainingMs * factor <= stepMs) {
            return elapsedMs + remainingMs * factor;
        }
        remainingMs -= stepMs / factor;
        elapsedMs += stepMs;
    }
}

LoadReport SimulatedServer::exactLoad() const
{
    const double second = this->elapsedSeconds();
    const double factor = this->workFactor(second) * this->slowdown(second);
    return { this->running, static_cast<int>(this->queue.size()), this->plan.slots, factor };
}

double SimulatedServer::withPauses(double serviceTimeMs) const
{
    if (this->plan.pauseMs <= 0) {
        return serviceTimeMs;
    }
    const double now = this->elapsedSeconds() * 1000 + this->pausePhaseMs;
    const double inPeriod = std::fmod(now, this->plan.pausePeriodMs);
    if (inPeriod < this->plan.pauseMs) {
        return serviceTimeMs + this->plan.pauseMs - inPeriod;
    }
    return inPeriod + serviceTimeMs > this->plan.pausePeriodMs ? serviceTimeMs + this->plan.pauseMs : serviceTimeMs;
}

void SimulatedServer::complete(const std::shared_ptr<SimulatedCall> &call)
{
    CallOutcome outcome;
    outcome.result = this->isDown() ? CallResult::Lost : CallResult::Answered;
    outcome.response.status = 200;
    outcome.response.signature = "stamp";
    outcome.response.body = "0123456789abcdef";
    this->freeSlot(call);
    this->sendResponse(call, outcome);
}

void SimulatedServer::sendResponse(const std::shared_ptr<SimulatedCall> &call, const CallOutcome &outcome)
{
    RateLimitStatement statement;
    statement.requestsPerSecond = this->currentLimit();
    if (statement.requestsPerSecond && !this->limitNamedAt) {
        this->limitNamedAt = this->elapsedSeconds();
    }
    LoadReport report = this->exactLoad();
    report.workFactor.reset();
    if (this->plan.loadKnowledge == LoadKnowledge::WorkFactors) {
        const auto &reported = this->plan.reportedFactor ? this->plan.reportedFactor : this->plan.workFactor;
        report.workFactor = reported(this->shard, this->index, this->elapsedSeconds());
    }
    call->timer = this->clock.after(fromMilliseconds(call->delayMs), [this, call, outcome, report, statement] {
        if (outcome.result != CallResult::Lost) {
            this->applyResponse(*call, report, statement);
        }
        call->deliver(outcome);
    });
}

void SimulatedServer::applyResponse(SimulatedCall &call, const LoadReport &report, const RateLimitStatement &statement)
{
    const TimePoint now = this->clock.now();
    call.endpoint->stats.updateLoad(report, now);
    call.endpoint->rateLimit.apply(statement, call.sentAt, now);
    if (statement.requestsPerSecond) {
        this->toldAt.try_emplace(call.instance, this->elapsedSeconds());
    }
}

}
