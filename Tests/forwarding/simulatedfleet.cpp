#include "forwarding/simulatedfleet.h"

#include "fleet/ratelimitshare.h"
#include "forwarding/requestrate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Lycheewall
{

namespace
{

constexpr double sameZoneDelayMs = 0.1;

std::string prefixOf(std::size_t kind)
{
    return '/' + std::to_string(kind) + '/';
}

OrganisationId organisationId(std::size_t number)
{
    return OrganisationId("organisation-" + std::to_string(number));
}

}

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
        SimulatedServer *server = nullptr;
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
        const auto simulated = std::make_shared<SimulatedCall>();
        simulated->clock = &this->fleet.clock;
        simulated->done = std::move(done);
        simulated->endpoint = call.endpoint;
        simulated->instance = this->instance;
        simulated->sentAt = this->fleet.clock.now();
        simulated->serviceTimeMs = this->fleet.drawServiceTimeMs(this->kindOf(*call.request).serviceTimeMs);
        simulated->delayMs = server->zone == this->zone ? sameZoneDelayMs : this->fleet.plan.zoneDelayMs;
        simulated->timer = this->fleet.clock.after(fromMilliseconds(simulated->delayMs),
                                                   [server, simulated] { server->receive(simulated); });
        return simulated;
    }

private:
    const SimulatedKind &kindOf(const CallerRequest &request) const
    {
        std::size_t number = 0;
        while (request.target != prefixOf(number)) {
            ++number;
        }
        return this->fleet.plan.kinds.at(number);
    }

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
        , retryBudget(fleet.plan.retryLimits, fleet.clock, random)
        , quota(fleet.clock)
        , requestLog(fleet.clock)
        , context { fleet.clock,
                    fleet.clock,
                    counters,
                    endpoints,
                    chooser,
                    sender,
                    retryBudget,
                    latencies,
                    serviceBalancer,
                    quota,
                    requestLog,
                    random,
                    throttledAdmission,
                    overloadControl,
                    std::make_shared<ResponseMemory>(fleet.clock),
                    nullptr }
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
    ThrottledAdmission throttledAdmission;
    OverloadControl overloadControl { endpoints, random };
    ForwardingContext context;
    RequestRate requestRate;
};

SimulatedFleet::SimulatedFleet(SimulationPlan simulationPlan)
    : plan(std::move(simulationPlan))
    , engine(this->plan.seed)
    , start(this->clock.now())
{
    this->addDefaultKind();
    this->buildTable();
    this->buildServers();
    this->buildInstances();
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::addDefaultKind()
{
    if (!this->plan.kinds.empty()) {
        return;
    }
    SimulatedKind kind;
    kind.name = "search";
    kind.requestsPerSecond = this->plan.requestsPerSecond;
    kind.serviceTimeMs = this->plan.serviceTimeMs;
    kind.objective = this->plan.objective;
    kind.timeout = this->plan.timeout;
    kind.minShardRatio = this->plan.minShardRatio;
    this->plan.kinds.push_back(kind);
}

Route SimulatedFleet::routeOf(const SimulatedKind &kind, std::size_t number) const
{
    Route route;
    route.name = kind.name;
    route.host = "host";
    route.prefix = prefixOf(number);
    route.latencyObjective = kind.objective;
    route.timeout = kind.timeout;
    route.priority = kind.priority;
    route.maxAttempts = this->plan.maxAttempts;
    route.maxRecords = 10;
    route.minShardRatio = kind.minShardRatio;
    for (std::size_t shard = 0; shard < this->plan.shards; ++shard) {
        route.shards.push_back(SimulatedServer::serviceOf(shard));
    }
    return route;
}

void SimulatedFleet::buildTable()
{
    RouteTableContent content;
    content.version = 1;
    for (std::size_t shard = 0; shard < this->plan.shards; ++shard) {
        ServiceSpec spec;
        spec.id = SimulatedServer::serviceOf(shard);
        spec.maxConnections = 1000;
        content.services.push_back(spec);
    }
    for (std::size_t number = 0; number < this->plan.kinds.size(); ++number) {
        content.routes.push_back(this->routeOf(this->plan.kinds[number], number));
    }
    for (std::size_t number = 0; number < this->plan.organisations.size(); ++number) {
        OrganisationSpec organisation;
        organisation.id = organisationId(number);
        organisation.priority = this->plan.organisations[number].priority;
        organisation.ratePerSecond = this->plan.organisations[number].ratePerSecond;
        content.organisations.push_back(organisation);
    }
    this->result.organisations.resize(this->plan.organisations.size());
    this->result.kinds.resize(this->plan.kinds.size());
    this->table = RouteTable::create(std::move(content)).value();
}

void SimulatedFleet::buildServers()
{
    std::uniform_real_distribution<double> phase(0, this->plan.pausePeriodMs);
    for (std::size_t shard = 0; shard < this->plan.shards; ++shard) {
        for (std::size_t index = 0; index < this->plan.endpointsPerShard; ++index) {
            this->servers.push_back(
                std::make_unique<SimulatedServer>(this->plan, this->clock, shard, index, phase(this->engine)));
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

double SimulatedFleet::drawServiceTimeMs(double meanMs)
{
    std::lognormal_distribution<double> variation(-this->plan.serviceTimeSigma * this->plan.serviceTimeSigma / 2,
                                                  this->plan.serviceTimeSigma);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double factor = uniform(this->engine) < this->plan.tailFraction ? this->plan.tailFactor : 1;
    return meanMs * variation(this->engine) * factor;
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
    double maxUsage = 0;
    for (const auto &server : this->servers) {
        maxUsage = std::max(maxUsage, server->maxLimitUsage());
    }
    return maxUsage;
}

std::size_t SimulatedFleet::drawOrganisation()
{
    if (this->plan.organisations.empty()) {
        return 0;
    }
    std::vector<double> fractions;
    for (const SimulatedOrganisation &organisation : this->plan.organisations) {
        fractions.push_back(organisation.fraction);
    }
    return std::discrete_distribution<std::size_t>(fractions.begin(), fractions.end())(this->engine);
}

void SimulatedFleet::scheduleArrivals()
{
    for (std::size_t kind = 0; kind < this->plan.kinds.size(); ++kind) {
        this->scheduleArrivals(kind);
    }
}

void SimulatedFleet::scheduleArrivals(std::size_t kind)
{
    const SimulatedKind &simulated = this->plan.kinds[kind];
    std::exponential_distribution<double> interval(simulated.requestsPerSecond);
    const std::size_t used
        = this->plan.instancesWithCallers == 0 ? this->plan.instances : this->plan.instancesWithCallers;
    std::uniform_int_distribution<std::size_t> instanceIndex(0, used - 1);
    const auto nextInterval = [&](double second) {
        const double factor = simulated.rateFactor ? simulated.rateFactor(second) : 1;
        return interval(this->engine) / factor;
    };
    double arrivalSeconds = 0;
    while ((arrivalSeconds += nextInterval(arrivalSeconds)) < this->plan.durationSeconds) {
        const bool haveMoved = this->plan.callersMoveAtSecond > 0 && arrivalSeconds >= this->plan.callersMoveAtSecond;
        Arrival arrival;
        arrival.instance = instanceIndex(this->engine) + (haveMoved ? this->plan.instances - used : 0);
        arrival.organisation = this->drawOrganisation();
        arrival.kind = kind;
        arrival.second = arrivalSeconds;
        arrival.deadline = this->start + fromMilliseconds(arrivalSeconds * 1000) + simulated.timeout;
        this->arrivals.push_back(
            this->clock.after(fromMilliseconds(arrivalSeconds * 1000), [this, arrival] { this->arrive(arrival); }));
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

void SimulatedFleet::updateExactLoads(std::size_t instance)
{
    for (const auto &server : this->servers) {
        this->instances[instance]
            ->endpoints.find(server->record.id)
            ->stats.updateLoad(server->exactLoad(), this->clock.now());
    }
}

void SimulatedFleet::arrive(Arrival arrival)
{
    if (this->plan.loadKnowledge == LoadKnowledge::Exact) {
        this->updateExactLoads(arrival.instance);
    }
    this->instances[arrival.instance]->requestRate.record(this->clock.now());
    arrival.at = this->clock.now();
    const auto request = std::make_shared<CallerRequest>();
    request->attemptId = std::to_string(this->nextRequest++);
    request->target = prefixOf(arrival.kind);
    request->arrivedAt = arrival.at;
    request->deadline = arrival.deadline;
    AdmittedRequest admitted;
    admitted.request = request;
    admitted.table = this->table;
    admitted.route = &this->table->routes()[arrival.kind];
    admitted.deadline = request->deadline;
    if (!this->plan.organisations.empty()) {
        admitted.organisation = organisationId(arrival.organisation);
    }
    startExchange(this->instances[arrival.instance]->context, admitted, [this, arrival](const ForwardReply &reply) {
        if (!this->repeat(arrival, reply)) {
            this->recordReply(arrival, reply);
        }
    });
}

bool SimulatedFleet::repeat(const Arrival &arrival, const ForwardReply &reply)
{
    if (reply.merged() || reply.execution() != Execution::NotRun || !reply.retryAfter()
        || arrival.repeats >= this->plan.repeats.maxRepeats) {
        return false;
    }
    const Duration remaining = arrival.deadline - this->clock.now();
    const Duration longestWait
        = fromSeconds(std::max(0.0, fractionalSeconds(remaining)) * this->plan.repeats.maxWaitFraction);
    Arrival next = arrival;
    ++next.repeats;
    this->arrivals.push_back(
        this->clock.after(std::min(*reply.retryAfter(), longestWait), [this, next] { this->arrive(next); }));
    return true;
}

void SimulatedFleet::recordKindResult(const Arrival &arrival, const ForwardReply &reply)
{
    const Duration latency = this->clock.now() - arrival.at + fromMilliseconds(2 * this->plan.callerDelayMs);
    KindResult &kind = this->result.kinds[arrival.kind];
    ++kind.requests;
    if (!reply.merged()) {
        ++(reply.execution() == Execution::NotRun ? kind.refused : kind.failed);
    } else if (latency > this->plan.kinds[arrival.kind].objective) {
        ++kind.late;
    } else {
        ++(arrival.repeats == 0 ? kind.onTime : kind.onTimeAfterRefusal);
    }
}

void SimulatedFleet::recordReply(const Arrival &arrival, const ForwardReply &reply)
{
    if (arrival.second < this->plan.warmUpSeconds) {
        return;
    }
    ++this->result.requests;
    this->recordKindResult(arrival, reply);
    if (!this->result.organisations.empty()) {
        OrganisationResult &organisation = this->result.organisations[arrival.organisation];
        ++organisation.requests;
        organisation.served += reply.merged() ? 1 : 0;
    }
    if (!reply.merged()) {
        ++this->result.refused;
        return;
    }
    const Duration latency = this->clock.now() - arrival.at + fromMilliseconds(2 * this->plan.callerDelayMs);
    this->latenciesMs.push_back(fractionalMilliseconds(latency));
    if (reply.merged()->missingShards > 0) {
        ++this->result.partial;
    }
    if (latency > this->plan.kinds[arrival.kind].objective) {
        ++this->result.late;
        return;
    }
    ++this->result.onTime;
    const double coverage
        = static_cast<double>(reply.merged()->signatures.size()) / static_cast<double>(this->plan.shards);
    this->creditSum += coverage * coverage;
}

void SimulatedFleet::summarizeLatencies()
{
    if (this->latenciesMs.empty()) {
        return;
    }
    const double sum = std::accumulate(this->latenciesMs.begin(), this->latenciesMs.end(), 0.0);
    this->result.meanLatencyMs = sum / static_cast<double>(this->latenciesMs.size());
    const auto rank = static_cast<std::ptrdiff_t>(this->latenciesMs.size() * 99 / 100);
    const auto quantile = this->latenciesMs.begin() + rank;
    std::nth_element(this->latenciesMs.begin(), quantile, this->latenciesMs.end());
    this->result.latency99Ms = *quantile;
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
    this->summarizeLatencies();
    this->result.maxBudgetUsage = this->maxBudgetUsage();
    this->result.maxLimitUsage = this->maxLimitUsage();
    return this->result;
}

}
