#include "forwarding/simulatedfleet.h"

#include "fleet/ratelimitshare.h"
#include "forwarding/requestrate.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

constexpr double sameZoneDelayMs = 0.1;
const ServiceId shardId(std::size_t shard)
{
    return ServiceId("shard-" + std::to_string(shard));
}

}

/// One request in flight to one endpoint.
struct SimulatedFleet::Job : public OutgoingCall
{
    void cancel(Duration gracePeriod) override
    {
        this->done = nullptr;
        this->graceTimer = this->clock->after(gracePeriod, [this] {
            this->cancelled = true;
            if (this->removeFromServer) {
                this->removeFromServer();
            }
        });
    }
    void deliver(const CallOutcome &outcome)
    {
        this->graceTimer.reset();
        if (this->done) {
            const auto callback = std::move(this->done);
            this->done = nullptr;
            callback(outcome);
        }
    }

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
struct SimulatedFleet::Server
{
    SimulatedFleet *fleet = nullptr;
    std::size_t shard = 0;
    std::size_t index = 0;
    std::size_t zone = 0;
    double pausePhaseMs = 0;
    EndpointRecord record;
    int running = 0;
    std::deque<std::shared_ptr<Job>> queue;
    std::optional<double> limitNamedAt;
    /// When each instance first got a response with the limit.
    std::map<std::size_t, double> toldAt;
    /// Arrivals from instances that knew the limit for half a second.
    std::vector<double> limitedArrivals;

    std::optional<double> currentLimit() const
    {
        const SimulationPlan &plan = this->fleet->plan;
        return plan.rateLimit ? plan.rateLimit(this->shard, this->index, this->fleet->elapsedSeconds()) : std::nullopt;
    }

    void recordArrival(std::size_t instance)
    {
        constexpr double reactionSeconds = 0.5;
        const double now = this->fleet->elapsedSeconds();
        const auto told = this->toldAt.find(instance);
        if (this->currentLimit() && told != this->toldAt.end() && now >= told->second + reactionSeconds) {
            this->limitedArrivals.push_back(now);
        }
    }

    bool isDown() const
    {
        return this->fleet->plan.isDown
            && this->fleet->plan.isDown(this->shard, this->index, this->fleet->elapsedSeconds());
    }

    void receive(const std::shared_ptr<Job> &job)
    {
        if (job->cancelled) {
            return;
        }
        this->recordArrival(job->instance);
        if (this->isDown()) {
            CallOutcome outcome;
            outcome.result = CallResult::Lost;
            this->sendResponse(job, outcome);
            return;
        }
        job->removeFromServer = [this, weak = std::weak_ptr<Job>(job)] {
            if (const auto removed = weak.lock()) {
                this->removeJob(removed);
            }
        };
        if (this->running < this->fleet->plan.slots) {
            this->startJob(job);
            return;
        }
        if (this->queue.size() < this->fleet->plan.queueLimit) {
            this->queue.push_back(job);
            return;
        }
        CallOutcome outcome;
        outcome.result = CallResult::NotRun;
        this->sendResponse(job, outcome);
    }

    void removeJob(const std::shared_ptr<Job> &job)
    {
        const auto position = std::find(this->queue.begin(), this->queue.end(), job);
        if (position != this->queue.end()) {
            this->queue.erase(position);
            return;
        }
        if (job->running) {
            job->timer.reset();
            this->freeSlot(job);
        }
    }

    void freeSlot(const std::shared_ptr<Job> &job)
    {
        job->running = false;
        --this->running;
        if (!this->queue.empty()) {
            const auto next = this->queue.front();
            this->queue.pop_front();
            this->startJob(next);
        }
    }

    void startJob(const std::shared_ptr<Job> &job)
    {
        job->running = true;
        ++this->running;
        const SimulationPlan &plan = this->fleet->plan;
        const double slowdown
            = plan.slowdown ? plan.slowdown(this->shard, this->index, this->fleet->elapsedSeconds()) : 1;
        const double time = this->withPauses(job->serviceTimeMs * slowdown);
        job->timer = this->fleet->clock.after(fromMilliseconds(time), [this, job] { this->completeJob(job); });
    }

    double withPauses(double serviceTimeMs) const
    {
        const SimulationPlan &plan = this->fleet->plan;
        if (plan.pauseMs <= 0) {
            return serviceTimeMs;
        }
        const double now = this->fleet->elapsedSeconds() * 1000 + this->pausePhaseMs;
        const double inPeriod = std::fmod(now, plan.pausePeriodMs);
        if (inPeriod < plan.pauseMs) {
            return serviceTimeMs + plan.pauseMs - inPeriod;
        }
        return inPeriod + serviceTimeMs > plan.pausePeriodMs ? serviceTimeMs + plan.pauseMs : serviceTimeMs;
    }

    void completeJob(const std::shared_ptr<Job> &job)
    {
        CallOutcome outcome;
        outcome.result = this->isDown() ? CallResult::Lost : CallResult::Answered;
        outcome.response.status = 200;
        outcome.response.signature = "stamp";
        outcome.response.body = "0123456789abcdef";
        this->freeSlot(job);
        this->sendResponse(job, outcome);
    }

    void sendResponse(const std::shared_ptr<Job> &job, const CallOutcome &outcome)
    {
        RateLimitStatement statement;
        statement.requestsPerSecond = this->currentLimit();
        if (statement.requestsPerSecond && !this->limitNamedAt) {
            this->limitNamedAt = this->fleet->elapsedSeconds();
        }
        const LoadReport report { this->running, static_cast<int>(this->queue.size()), this->fleet->plan.slots };
        job->timer = this->fleet->clock.after(fromMilliseconds(job->delayMs), [this, job, outcome, report, statement] {
            const TimePoint now = this->fleet->clock.now();
            if (outcome.result != CallResult::Lost) {
                job->endpoint->stats.updateLoad(report, now);
                job->endpoint->rateLimit.apply(statement, job->sentAt, now);
                if (statement.requestsPerSecond) {
                    this->toldAt.try_emplace(job->instance, this->fleet->elapsedSeconds());
                }
            }
            job->deliver(outcome);
        });
    }
};

/// Sends the calls of one instance to the servers.
class SimulatedFleet::Sender : public EndpointSender
{
public:
    Sender(SimulatedFleet &simulated, std::size_t instanceNumber)
        : fleet(simulated)
        , instance(instanceNumber)
        , zone(instanceNumber % simulated.plan.zones)
    {
    }

    std::shared_ptr<OutgoingCall> send(const EndpointCall &call, std::function<void(CallOutcome)> done) override
    {
        Server *server = nullptr;
        for (const auto &candidate : this->fleet.servers) {
            if (candidate->record.id == call.endpoint->record.id) {
                server = candidate.get();
            }
        }
        const std::string key = call.request->attemptId + "/" + server->record.service.value();
        this->fleet.recordSend(server->record.service, this->fleet.sendsByRequest[key]++ > 0);
        if (server->zone != this->zone) {
            ++this->fleet.result.crossZoneSends;
        }
        const auto job = std::make_shared<Job>();
        job->clock = &this->fleet.clock;
        job->done = std::move(done);
        job->endpoint = call.endpoint;
        job->instance = this->instance;
        job->sentAt = this->fleet.clock.now();
        job->serviceTimeMs = this->fleet.drawServiceTimeMs();
        job->delayMs = server->zone == this->zone ? sameZoneDelayMs : this->fleet.plan.zoneDelayMs;
        job->timer = this->fleet.clock.after(fromMilliseconds(job->delayMs), [server, job] { server->receive(job); });
        return job;
    }

private:
    SimulatedFleet &fleet;
    std::size_t instance;
    std::size_t zone;
};

/// The forwarding components of one instance.
struct SimulatedFleet::Instance
{
    Instance(SimulatedFleet &fleet, std::size_t number)
        : random(fleet.plan.seed * 1000 + number)
        , chooser(endpoints, ZoneId("zone-" + std::to_string(number % fleet.plan.zones)), random)
        , sender(fleet, number)
        , retryBudget(fleet.plan.retryLimits, fleet.clock)
        , quota(fleet.clock)
        , requestLog(fleet.clock)
        , context { fleet.clock, fleet.clock,     counters, endpoints,  chooser, sender, retryBudget,
                    latencies,   serviceBalancer, quota,    requestLog, random,  nullptr }
    {
        const double share = 1.0 / static_cast<double>(fleet.plan.instances);
        this->endpoints.setFleetShare(share);
        this->endpoints.setRateLimitShare(share);
        this->retryBudget.setFleetShare(share);
        for (const auto &server : fleet.servers) {
            this->endpoints.addOrUpdate(server->record, fleet.clock.now());
        }
    }

    Counters counters;
    Random random;
    EndpointSet endpoints;
    EndpointChooser chooser;
    Sender sender;
    FleetRetryBudget retryBudget;
    LatencyModel latencies;
    WeightedRoundRobin serviceBalancer;
    OrganisationQuota quota;
    RequestLog requestLog;
    ForwardingContext context;
    RequestRate requestRate;
};

SimulatedFleet::SimulatedFleet(SimulationPlan simulationPlan)
    : plan(std::move(simulationPlan))
    , engine(this->plan.seed)
    , start(this->clock.now())
{
    this->buildTable();
    this->buildServers();
    this->buildInstances();
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::buildTable()
{
    RouteTableContent content;
    content.version = 1;
    Route route;
    route.name = "search";
    route.host = "host";
    route.prefix = "/";
    route.latencyObjective = this->plan.objective;
    route.timeout = this->plan.timeout;
    route.maxAttempts = this->plan.maxAttempts;
    route.maxRecords = 10;
    route.minShardRatio = this->plan.minShardRatio;
    for (std::size_t shard = 0; shard < this->plan.shards; ++shard) {
        route.shards.push_back(shardId(shard));
        ServiceSpec spec;
        spec.id = shardId(shard);
        spec.maxConnections = 1000;
        content.services.push_back(spec);
    }
    content.routes.push_back(route);
    this->table = RouteTable::create(std::move(content)).value();
}

void SimulatedFleet::buildServers()
{
    std::uniform_real_distribution<double> phase(0, this->plan.pausePeriodMs);
    for (std::size_t shard = 0; shard < this->plan.shards; ++shard) {
        for (std::size_t index = 0; index < this->plan.endpointsPerShard; ++index) {
            auto server = std::make_unique<Server>();
            server->fleet = this;
            server->shard = shard;
            server->index = index;
            server->zone = index % this->plan.zones;
            server->pausePhaseMs = phase(this->engine);
            server->record.id = EndpointId(std::to_string(shard) + "-" + std::to_string(index));
            server->record.service = shardId(shard);
            server->record.zone = ZoneId("zone-" + std::to_string(server->zone));
            server->record.slots = this->plan.slots;
            this->servers.push_back(std::move(server));
        }
    }
}

void SimulatedFleet::buildInstances()
{
    for (std::size_t number = 0; number < this->plan.instances; ++number) {
        this->instances.push_back(std::make_unique<Instance>(*this, number));
    }
}

double SimulatedFleet::elapsedSeconds() const
{
    return fractionalSeconds(this->clock.now() - this->start);
}

double SimulatedFleet::drawServiceTimeMs()
{
    std::lognormal_distribution<double> variation(-this->plan.serviceTimeSigma * this->plan.serviceTimeSigma / 2,
                                                  this->plan.serviceTimeSigma);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double factor = uniform(this->engine) < this->plan.tailFraction ? this->plan.tailFactor : 1;
    return this->plan.serviceTimeMs * variation(this->engine) * factor;
}

void SimulatedFleet::recordSend(const ServiceId &service, bool isExtraAttempt)
{
    ++this->result.sends;
    SendTimes &timesOfService = this->sendTimes[service];
    (isExtraAttempt ? timesOfService.extraAttempts : timesOfService.firstAttempts).push_back(this->elapsedSeconds());
}

double SimulatedFleet::maxBudgetUsage() const
{
    const double window = fractionalSeconds(this->plan.retryLimits.window);
    double maxUsage = 0;
    for (const auto &[service, times] : this->sendTimes) {
        for (std::size_t index = 0; index < times.extraAttempts.size(); ++index) {
            const double windowStart = times.extraAttempts[index];
            const auto inWindow = [windowStart, window](double at) {
                return at >= windowStart && at < windowStart + window;
            };
            const auto extraCount = std::count_if(times.extraAttempts.begin(), times.extraAttempts.end(), inWindow);
            const auto firstCount = std::count_if(times.firstAttempts.begin(), times.firstAttempts.end(), inWindow);
            const double allowed
                = this->plan.retryLimits.ratio * static_cast<double>(firstCount) + this->plan.retryLimits.slack;
            maxUsage = std::max(maxUsage, static_cast<double>(extraCount) / allowed);
        }
    }
    return maxUsage;
}

double SimulatedFleet::maxLimitUsage() const
{
    constexpr double windowSeconds = 4;
    constexpr double allowedFactor = 1.5;
    constexpr double allowedExtra = 5;
    double maxUsage = 0;
    for (const auto &server : this->servers) {
        const std::vector<double> &times = server->limitedArrivals;
        for (auto first = times.begin(); first != times.end(); ++first) {
            if (*first < server->limitNamedAt.value_or(0) + windowSeconds) {
                continue;
            }
            const auto last = std::lower_bound(first, times.end(), *first + windowSeconds);
            const double limit = this->plan.rateLimit(server->shard, server->index, *first).value_or(0);
            const double allowed = allowedFactor * limit * windowSeconds + allowedExtra;
            maxUsage = std::max(maxUsage, static_cast<double>(last - first) / allowed);
        }
    }
    return maxUsage;
}

void SimulatedFleet::scheduleArrivals()
{
    std::exponential_distribution<double> interval(this->plan.requestsPerSecond);
    const std::size_t used
        = this->plan.instancesWithCallers == 0 ? this->plan.instances : this->plan.instancesWithCallers;
    std::uniform_int_distribution<std::size_t> instanceIndex(0, used - 1);
    double arrivalSeconds = 0;
    while ((arrivalSeconds += interval(this->engine)) < this->plan.durationSeconds) {
        const bool haveMoved = this->plan.callersMoveAtSecond > 0 && arrivalSeconds >= this->plan.callersMoveAtSecond;
        const std::size_t instance = instanceIndex(this->engine) + (haveMoved ? this->plan.instances - used : 0);
        this->arrivals.push_back(
            this->clock.after(fromMilliseconds(arrivalSeconds * 1000), [this, instance] { this->arrive(instance); }));
    }
}

void SimulatedFleet::gossipSlowEndpoints()
{
    const TimePoint now = this->clock.now();
    for (const auto &reporter : this->instances) {
        const auto slowEndpoints = reporter->endpoints.locallySlowEndpoints(now);
        for (const auto &receiver : this->instances) {
            if (receiver != reporter) {
                receiver->endpoints.applySlowReports(slowEndpoints, now, receiver->random);
            }
        }
    }
}

void SimulatedFleet::gossipRequestRates()
{
    const TimePoint now = this->clock.now();
    double fleetRate = 0;
    for (const auto &instance : this->instances) {
        fleetRate += instance->requestRate.perSecond(now);
    }
    for (const auto &instance : this->instances) {
        const double share
            = RateLimitShare::byLoad(instance->endpoints.fleetShare(), instance->requestRate.perSecond(now), fleetRate);
        instance->endpoints.setRateLimitShare(share);
    }
}

void SimulatedFleet::arrive(std::size_t instance)
{
    this->instances[instance]->requestRate.record(this->clock.now());
    const auto request = std::make_shared<CallerRequest>();
    request->attemptId = std::to_string(this->nextRequest++);
    request->arrivedAt = this->clock.now();
    request->deadline = request->arrivedAt + this->plan.timeout;
    AdmittedRequest admitted;
    admitted.request = request;
    admitted.table = this->table;
    admitted.route = &this->table->routes().front();
    admitted.deadline = request->deadline;
    startExchange(this->instances[instance]->context,
                  admitted,
                  [this, arrivalSeconds = this->elapsedSeconds(), arrivedAt = request->arrivedAt](
                      const ForwardReply &reply) { this->recordReply(arrivalSeconds, arrivedAt, reply); });
}

void SimulatedFleet::recordReply(double arrivalSeconds, TimePoint arrivedAt, const ForwardReply &reply)
{
    if (arrivalSeconds < this->plan.warmUpSeconds) {
        return;
    }
    ++this->result.requests;
    if (!reply.merged) {
        ++this->result.refused;
        return;
    }
    const Duration latency = this->clock.now() - arrivedAt + fromMilliseconds(2 * this->plan.callerDelayMs);
    if (reply.merged->missingShards > 0) {
        ++this->result.partial;
    }
    if (latency > this->plan.objective) {
        ++this->result.late;
        return;
    }
    ++this->result.onTime;
    const double coverage
        = static_cast<double>(reply.merged->signatures.size()) / static_cast<double>(this->plan.shards);
    this->creditSum += coverage * coverage;
}

SimulationResult SimulatedFleet::run()
{
    this->scheduleArrivals();
    if (this->plan.gossipInterval > Duration::zero()) {
        this->gossipTimer = this->clock.every(this->plan.gossipInterval, [this] { this->gossipSlowEndpoints(); });
    }
    if (this->plan.rateGossipInterval > Duration::zero()) {
        this->rateGossipTimer
            = this->clock.every(this->plan.rateGossipInterval, [this] { this->gossipRequestRates(); });
    }
    this->clock.advance(fromMilliseconds(this->plan.durationSeconds * 1000) + 2 * this->plan.timeout);
    this->result.credit = this->result.requests == 0 ? 0 : this->creditSum / static_cast<double>(this->result.requests);
    this->result.maxBudgetUsage = this->maxBudgetUsage();
    this->result.maxLimitUsage = this->maxLimitUsage();
    return this->result;
}

}
