#include "forwarding/simulatedfleet.h"

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

/// One request at one endpoint.
struct SimulatedFleet::Job : public OutgoingCall
{
    void cancel(Duration gracePeriod) override
    {
        this->done = nullptr;
        this->graceTimer = this->clock->after(gracePeriod, [this] {
            this->cancelled = true;
            if (this->drop) {
                this->drop();
            }
        });
    }
    void answer(const CallOutcome &outcome)
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
    /// Takes the request off the server's queue or slot, as a closed connection does.
    std::function<void()> drop;
    EndpointPtr endpoint;
    double work = 0;
    double delayMs = 0;
    bool cancelled = false;
    bool running = false;
    Subscription timer;
    Subscription graceTimer;
};

/// An endpoint with slots and a queue.
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

    bool isDown() const
    {
        return this->fleet->plan.down && this->fleet->plan.down(this->shard, this->index, this->fleet->second());
    }

    void arrive(const std::shared_ptr<Job> &job)
    {
        if (job->cancelled) {
            return;
        }
        if (this->isDown()) {
            CallOutcome outcome;
            outcome.result = CallResult::Lost;
            this->send(job, outcome);
            return;
        }
        job->drop = [this, weak = std::weak_ptr<Job>(job)] {
            if (const auto dropped = weak.lock()) {
                this->drop(dropped);
            }
        };
        if (this->running < this->fleet->plan.slots) {
            this->begin(job);
            return;
        }
        if (this->queue.size() < this->fleet->plan.queueLimit) {
            this->queue.push_back(job);
            return;
        }
        CallOutcome outcome;
        outcome.result = CallResult::NotRun;
        this->send(job, outcome);
    }

    void drop(const std::shared_ptr<Job> &job)
    {
        const auto place = std::find(this->queue.begin(), this->queue.end(), job);
        if (place != this->queue.end()) {
            this->queue.erase(place);
            return;
        }
        if (job->running) {
            job->timer.reset();
            this->leaveSlot(job);
        }
    }

    void leaveSlot(const std::shared_ptr<Job> &job)
    {
        job->running = false;
        --this->running;
        if (!this->queue.empty()) {
            const auto next = this->queue.front();
            this->queue.pop_front();
            this->begin(next);
        }
    }

    void begin(const std::shared_ptr<Job> &job)
    {
        job->running = true;
        ++this->running;
        const SimulationPlan &plan = this->fleet->plan;
        const double slow = plan.slowness ? plan.slowness(this->shard, this->index, this->fleet->second()) : 1;
        const double time = this->withPauses(job->work * slow);
        job->timer = this->fleet->clock.after(fromMilliseconds(time), [this, job] { this->finish(job); });
    }

    double withPauses(double workMs) const
    {
        const SimulationPlan &plan = this->fleet->plan;
        if (plan.pauseMs <= 0) {
            return workMs;
        }
        const double now = this->fleet->second() * 1000 + this->pausePhaseMs;
        const double inPeriod = std::fmod(now, plan.pauseEveryMs);
        if (inPeriod < plan.pauseMs) {
            return workMs + plan.pauseMs - inPeriod;
        }
        return inPeriod + workMs > plan.pauseEveryMs ? workMs + plan.pauseMs : workMs;
    }

    void finish(const std::shared_ptr<Job> &job)
    {
        CallOutcome outcome;
        outcome.result = this->isDown() ? CallResult::Lost : CallResult::Answered;
        outcome.response.status = 200;
        outcome.response.signature = "stamp";
        outcome.response.body = "0123456789abcdef";
        this->leaveSlot(job);
        this->send(job, outcome);
    }

    void send(const std::shared_ptr<Job> &job, const CallOutcome &outcome)
    {
        const LoadReport report { this->running, static_cast<int>(this->queue.size()), this->fleet->plan.slots };
        job->timer = this->fleet->clock.after(fromMilliseconds(job->delayMs), [this, job, outcome, report] {
            if (outcome.result != CallResult::Lost) {
                job->endpoint->stats.updateLoad(report, this->fleet->clock.now());
            }
            job->answer(outcome);
        });
    }
};

/// Carries calls of one instance to the servers.
class SimulatedFleet::Caller : public EndpointSender
{
public:
    Caller(SimulatedFleet &simulated, std::size_t instanceZone)
        : fleet(simulated)
        , zone(instanceZone)
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
        this->fleet.noteSend(server->record.service, this->fleet.sendsByRequest[key]++ > 0);
        if (server->zone != this->zone) {
            ++this->fleet.result.otherZoneSends;
        }
        const auto job = std::make_shared<Job>();
        job->clock = &this->fleet.clock;
        job->done = std::move(done);
        job->endpoint = call.endpoint;
        job->work = this->fleet.workMs();
        job->delayMs = server->zone == this->zone ? sameZoneDelayMs : this->fleet.plan.zoneDelayMs;
        job->timer = this->fleet.clock.after(fromMilliseconds(job->delayMs), [server, job] { server->arrive(job); });
        return job;
    }

private:
    SimulatedFleet &fleet;
    std::size_t zone;
};

/// The forwarding code of one instance.
struct SimulatedFleet::Instance
{
    Instance(SimulatedFleet &fleet, std::size_t number)
        : random(fleet.plan.seed * 1000 + number)
        , chooser(endpoints, ZoneId("zone-" + std::to_string(number % fleet.plan.zones)), random)
        , caller(fleet, number % fleet.plan.zones)
        , retryBudget(fleet.plan.repeats, fleet.clock)
        , quota(fleet.clock)
        , requestLog(fleet.clock)
        , context { fleet.clock,
                    fleet.clock,
                    counters,
                    endpoints,
                    chooser,
                    caller,
                    retryBudget,
                    latencies,
                    serviceBalancer,
                    quota,
                    requestLog,
                    nullptr,
                    1.0 / static_cast<double>(fleet.plan.instances) }
    {
        this->retryBudget.setFleetShare(1.0 / static_cast<double>(fleet.plan.instances));
        for (const auto &server : fleet.servers) {
            this->endpoints.addOrUpdate(server->record, fleet.clock.now());
        }
    }

    Counters counters;
    Random random;
    EndpointSet endpoints;
    EndpointChooser chooser;
    Caller caller;
    FleetRetryBudget retryBudget;
    LatencyModel latencies;
    WeightedRoundRobin serviceBalancer;
    OrganisationQuota quota;
    RequestLog requestLog;
    ForwardingContext context;
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
    std::uniform_real_distribution<double> phase(0, this->plan.pauseEveryMs);
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

double SimulatedFleet::second() const
{
    return fractionalSeconds(this->clock.now() - this->start);
}

double SimulatedFleet::workMs()
{
    std::lognormal_distribution<double> spread(-this->plan.workSpread * this->plan.workSpread / 2,
                                               this->plan.workSpread);
    std::uniform_real_distribution<double> unit(0, 1);
    const double factor = unit(this->engine) < this->plan.tailShare ? this->plan.tailFactor : 1;
    return this->plan.workMs * spread(this->engine) * factor;
}

void SimulatedFleet::noteSend(const ServiceId &service, bool repeat)
{
    ++this->result.sends;
    Sends &sendsOfService = this->sends[service];
    (repeat ? sendsOfService.repeatAt : sendsOfService.firstAt).push_back(this->second());
}

double SimulatedFleet::worstBudgetUse() const
{
    const double window = fractionalSeconds(this->plan.repeats.window);
    double worst = 0;
    for (const auto &[service, times] : this->sends) {
        for (std::size_t begin = 0; begin < times.repeatAt.size(); ++begin) {
            const double from = times.repeatAt[begin];
            const auto inWindow = [from, window](double at) {
                return at >= from && at < from + window;
            };
            const auto repeats = std::count_if(times.repeatAt.begin(), times.repeatAt.end(), inWindow);
            const auto firsts = std::count_if(times.firstAt.begin(), times.firstAt.end(), inWindow);
            const double allowed = this->plan.repeats.ratio * static_cast<double>(firsts) + this->plan.repeats.slack;
            worst = std::max(worst, static_cast<double>(repeats) / allowed);
        }
    }
    return worst;
}

void SimulatedFleet::scheduleArrivals()
{
    std::exponential_distribution<double> gap(this->plan.requestsPerSecond);
    std::uniform_int_distribution<std::size_t> choose(0, this->plan.instances - 1);
    double at = 0;
    while ((at += gap(this->engine)) < this->plan.seconds) {
        const std::size_t instance = choose(this->engine);
        this->arrivals.push_back(
            this->clock.after(fromMilliseconds(at * 1000), [this, instance] { this->arrive(instance); }));
    }
}

void SimulatedFleet::tellOfSlowEndpoints()
{
    const TimePoint now = this->clock.now();
    for (const auto &teller : this->instances) {
        const auto slow = teller->endpoints.locallySlowEndpoints(now);
        for (const auto &hearer : this->instances) {
            if (hearer != teller) {
                hearer->endpoints.applySlowReports(slow, now, hearer->random);
            }
        }
    }
}

void SimulatedFleet::arrive(std::size_t instance)
{
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
                  [this, at = this->second(), arrivedAt = request->arrivedAt](const ForwardReply &reply) {
                      this->noteReply(at, arrivedAt, reply);
                  });
}

void SimulatedFleet::noteReply(double arrivedSecond, TimePoint arrivedAt, const ForwardReply &reply)
{
    if (arrivedSecond < this->plan.countFrom) {
        return;
    }
    ++this->result.requests;
    if (!reply.merged) {
        ++this->result.refused;
        return;
    }
    const Duration taken = this->clock.now() - arrivedAt + fromMilliseconds(2 * this->plan.callerDelayMs);
    if (reply.merged->missingShards > 0) {
        ++this->result.withMissingParts;
    }
    if (taken > this->plan.objective) {
        ++this->result.late;
        return;
    }
    ++this->result.inObjective;
    const double share = static_cast<double>(reply.merged->signatures.size()) / static_cast<double>(this->plan.shards);
    this->creditSum += share * share;
}

SimulationResult SimulatedFleet::run()
{
    this->scheduleArrivals();
    if (this->plan.tellPeriod > Duration::zero()) {
        this->telling = this->clock.every(this->plan.tellPeriod, [this] { this->tellOfSlowEndpoints(); });
    }
    this->clock.advance(fromMilliseconds(this->plan.seconds * 1000) + 2 * this->plan.timeout);
    this->result.credit = this->result.requests == 0 ? 0 : this->creditSum / static_cast<double>(this->result.requests);
    this->result.worstBudgetUse = this->worstBudgetUse();
    return this->result;
}

}
