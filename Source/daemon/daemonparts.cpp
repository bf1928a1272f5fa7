#include "daemon/daemonparts.h"

#include "core/log.h"
#include "daemon/statereport.h"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>
#include <future>
#include <random>
#include <thread>

namespace Lycheewall
{

namespace
{

constexpr Duration readinessCheck = Milliseconds(100);
constexpr Duration lonelyPoll = Milliseconds(500);
/// A first instance of a deployment hears no peer; it serves alone after this time.
constexpr Duration waitForPeers = std::chrono::seconds(3);
/// Callers may still get this address from a peer that has not heard of the leaving, and may send at the very end of
/// the keep time. Without this margin, a rolling replacement cut 1 of 3132 requests.
constexpr Duration addressMargin = std::chrono::seconds(1);
/// How long a leaving instance waits for its work beyond the keep time and the longest deadline.
constexpr Duration leaveMargin = std::chrono::seconds(5);
constexpr Milliseconds quietPoll { 20 };

std::uint64_t trueRandom()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::vector<std::unique_ptr<Worker>> makeWorkers(int count)
{
    std::vector<std::unique_ptr<Worker>> workers;
    workers.reserve(static_cast<std::size_t>(count));
    for (int made = 0; made < count; ++made) {
        workers.push_back(Worker::create());
    }
    return workers;
}

LeaseSettings leaseSettings(const Settings &settings)
{
    LeaseSettings times;
    times.period = settings.lease;
    times.renew = settings.leaseRenew;
    return times;
}

PlatformClientSettings platformSettings(const Settings &settings)
{
    PlatformClientSettings platform;
    platform.addresses = settings.platformAddresses;
    return platform;
}

constexpr std::string_view organisationPrefix = "organisation/";

std::optional<OrganisationId> organisationOf(const ResourceId &resource)
{
    if (resource.value().rfind(organisationPrefix, 0) != 0) {
        return std::nullopt;
    }
    return OrganisationId(resource.value().substr(organisationPrefix.size()));
}

}

Daemon::Parts::Parts(const Settings &daemonSettings)
    : settings(daemonSettings)
    , incarnation(std::to_string(trueRandom()))
    , random(trueRandom())
    , startedAt(clock.now())
    , control(Worker::create())
    , requestWorkers(makeWorkers(settings.workerThreads))
    , timers(control->context())
    , store(clock, counters)
    , freshness(clock, settings.freshness)
    , peers(clock, settings.instance)
    , leases(leaseSettings(settings),
             clock,
             timers,
             transport,
             peers,
             counters,
             settings.instance,
             [this] { return this->freshness.cutOff(); })
    , limiter(clock, leases, counters, [this](const ResourceId &resource) { return this->leases.holder(resource); })
    , tokens(clock, timers, random, transport, leases, limiter, counters)
    , endpoints(requestWorkerPointers(), clock, counters)
    , groups(schedulerContext())
    , directory(leases, peers, settings.instance)
    , router(settings.instance, clock, timers, transport, directory, groups, counters)
    , server(settings.instance, groups, transport, directory, counters)
    , snapshots(clock)
    , chooser(random)
    , coordinator(coordinatorContext())
    , relay(store, transport, clock, counters)
    , platform(*control, clock, counters, platformSettings(settings))
    , reader(platform,
             store,
             freshness,
             clock,
             random,
             counters,
             [](Duration duration) { boost::this_fiber::sleep_for(duration); })
    , callerInterface(callerContext())
    , operatorInterface(operatorContext())
    , dispatcher(dispatcherContext())
{
}

Daemon::Parts::~Parts() = default;

std::vector<Worker *> Daemon::Parts::requestWorkerPointers() const
{
    std::vector<Worker *> pointers;
    for (const auto &worker : this->requestWorkers) {
        pointers.push_back(worker.get());
    }
    return pointers;
}

SchedulerContext Daemon::Parts::schedulerContext()
{
    return { this->clock, this->timers, this->random, this->endpoints, this->leases, this->budget, this->counters };
}

CoordinatorContext Daemon::Parts::coordinatorContext()
{
    return { this->clock,  this->timers,    this->store,   this->freshness, this->tokens,
             this->router, this->snapshots, this->chooser, this->traces,    this->counters };
}

PeerDispatcherContext Daemon::Parts::dispatcherContext()
{
    return { this->peers,
             this->freshness,
             this->leases,
             this->limiter,
             this->tokens,
             this->relay,
             this->router,
             this->server,
             this->transport,
             [this](std::function<void()> work) {
                 this->control->spawn(std::move(work));
             } };
}

CallerInterfaceContext Daemon::Parts::callerContext()
{
    return { this->settings.instance,
             this->settings.zone,
             this->coordinator,
             this->peers,
             this->random,
             this->counters,
             { this->settings.defaultDeadline, this->settings.maxDeadline },
             this->settings.keep };
}

OperatorInterfaceContext Daemon::Parts::operatorContext()
{
    return { this->counters,
             this->traces,
             [this] { return this->stateJson(); },
             [](const std::string &level) {
                 return setLogLevelByName(level);
             } };
}

Result<void> Daemon::Parts::start()
{
    this->subscribeLeases();
    this->storeSubscription = this->store.subscribe([this](ValueName name) {
        if (name == ValueName::Catalogue) {
            this->applyCatalogue();
        } else {
            this->applyInstances();
        }
    });
    PeerSettings peerSettings;
    peerSettings.self = this->settings.instance;
    peerSettings.incarnation = this->incarnation;
    peerSettings.zone = this->settings.zone;
    peerSettings.callerAddress = this->settings.callerAddress;
    peerSettings.listenAddress = this->settings.peerAddress;
    peerSettings.seed = this->random.bits();
    auto created = PeerNetwork::create(peerSettings, this->dispatcher, this->clock, this->counters);
    if (!created) {
        return created.error();
    }
    this->network = std::move(created.value());
    this->transport.connect(this->network.get());

    HttpLimits limits;
    limits.headerBytes = static_cast<std::uint32_t>(this->settings.maxHeaderBytes);
    limits.bodyBytes = this->settings.maxBodyBytes;
    limits.connections = this->settings.maxConnections;
    limits.idle = this->settings.idle;
    auto callers = HttpServer::create(
        this->requestWorkerPointers(), this->settings.callerAddress, limits, this->callerInterface, this->counters);
    if (!callers) {
        return callers.error();
    }
    this->callerServer = std::move(callers.value());
    auto operators = HttpServer::create(
        { this->control.get() }, this->settings.operatorAddress, HttpLimits(), this->operatorInterface, this->counters);
    if (!operators) {
        return operators.error();
    }
    this->operatorServer = std::move(operators.value());
    this->leases.start();
    this->periodic.push_back(this->timers.every(this->settings.gossip, [this] { this->gossip(); }));
    this->periodic.push_back(this->timers.every(readinessCheck, [this] { this->becomeReadyWhenPossible(); }));
    this->readPlatform();
    return success();
}

void Daemon::Parts::subscribeLeases()
{
    this->leases.onGained([this](const ResourceId &resource) {
        if (const auto organisation = organisationOf(resource)) {
            this->limiter.gained(*organisation);
        } else {
            this->groups.gained(resource);
        }
    });
    this->leases.onLost([this](const ResourceId &resource) {
        if (const auto organisation = organisationOf(resource)) {
            this->limiter.lost(*organisation);
        } else {
            this->groups.lost(resource);
        }
    });
    this->leases.onHandover([this](const ResourceId &resource) {
        if (const auto organisation = organisationOf(resource)) {
            this->limiter.lost(*organisation);
            this->leases.handoverDone(resource);
            return;
        }
        this->groups.handOver(resource, [this, resource] { this->leases.handoverDone(resource); });
    });
}

void Daemon::Parts::readPlatform()
{
    for (const ValueName name : { ValueName::Catalogue, ValueName::Instances }) {
        this->control->spawn([this, name] {
            for (;;) {
                this->reader.step(name);
            }
        });
    }
    this->control->spawn([this] {
        for (;;) {
            boost::this_fiber::sleep_for(lonelyPoll);
            this->reader.pollWhenAlone(ValueName::Instances);
        }
    });
}

void Daemon::Parts::applyCatalogue()
{
    const auto catalogue = this->store.catalogue();
    for (const auto &[id, pool] : catalogue->pools()) {
        for (const Group &group : pool.groups) {
            for (const Endpoint &endpoint : group.endpoints) {
                this->endpoints.setAddress(endpoint.id, endpoint.host, endpoint.port);
            }
        }
    }
    this->limiter.setCatalogue(catalogue);
    this->groups.setCatalogue(catalogue);
    std::vector<ResourceId> resources = this->groups.resources();
    for (const auto &[id, organisation] : catalogue->organisations()) {
        resources.push_back(organisationResource(id));
    }
    const ValueVersion version = this->store.version(ValueName::Catalogue);
    this->leases.setResources(resources);
    this->leases.setCatalogueVersion(version);
    Log::component("configuration").info("Catalogue version " + std::to_string(version.value()) + " is in force.");
    this->gossip();
}

void Daemon::Parts::applyInstances()
{
    const auto list = this->store.instances();
    const ValueVersion version = this->store.version(ValueName::Instances);
    std::vector<PeerAddress> addresses;
    std::vector<InstanceId> others;
    for (const ListedInstance &instance : list->instances()) {
        if (instance.id != this->settings.instance) {
            addresses.push_back({ instance.id, instance.peerAddress });
            others.push_back(instance.id);
        }
    }
    this->peers.setList(list, version);
    this->leases.setList(list, version);
    this->freshness.setMembers(others, list->find(this->settings.instance) != nullptr);
    this->network->setPeers(addresses);
    Log::component("membership").info("Instance list version " + std::to_string(version.value()) + " is in force.");
}

Gossip Daemon::Parts::composeGossip() const
{
    Gossip gossip;
    gossip.state = this->leaving ? InstanceState::Leaving : InstanceState::Starting;
    if (!this->leaving && this->coordinator.isReady()) {
        gossip.state = InstanceState::Ready;
    }
    gossip.incarnation = this->incarnation;
    gossip.catalogueVersion = this->store.version(ValueName::Catalogue);
    gossip.listVersion = this->store.version(ValueName::Instances);
    gossip.callerAddress = this->settings.callerAddress;
    gossip.held = this->leases.held();
    gossip.cold = this->groups.cold();
    const Duration age = this->freshness.platformAge();
    gossip.platformAgeMs = age == Duration::max() ? -1 : toMilliseconds(age);
    return gossip;
}

void Daemon::Parts::gossip()
{
    const Gossip message = this->composeGossip();
    for (const InstanceId &peer : this->peers.peers()) {
        this->transport.send(peer, message);
    }
}

bool Daemon::Parts::heardEnough() const
{
    if (this->freshness.majorityHeard()) {
        return true;
    }
    const bool waited = this->clock.now() - this->startedAt >= waitForPeers;
    for (const InstanceId &peer : this->peers.peers()) {
        if (this->peers.health(peer) == PeerHealth::Alive) {
            return false;
        }
    }
    return waited;
}

void Daemon::Parts::becomeReadyWhenPossible()
{
    if (this->leaving || this->coordinator.isReady()) {
        return;
    }
    if (!this->store.catalogue() || !this->store.instances() || !this->heardEnough()) {
        return;
    }
    this->coordinator.setReady(true);
    this->peers.setSelf(InstanceState::Ready);
    this->leases.setReady(true);
    Log::component("daemon").info("Ready.");
    this->gossip();
}

std::string Daemon::Parts::stateJson() const
{
    StateReport report;
    report.instance = this->settings.instance;
    report.zone = this->settings.zone;
    report.state = this->composeGossip();
    report.cutOff = this->freshness.cutOff();
    report.running = this->coordinator.running();
    report.served = this->server.pending();
    report.routed = this->router.pending();
    report.callerConnections = this->callerServer ? this->callerServer->openConnections() : 0;
    report.groups = this->groups.reports();
    for (const GroupReport &group : report.groups) {
        for (const EndpointReport &endpoint : group.state.endpoints) {
            report.connections[endpoint.id] = this->endpoints.openConnections(endpoint.id);
        }
    }
    for (const InstanceId &peer : this->peers.peers()) {
        report.peers[peer] = this->peers.health(peer);
    }
    if (const auto catalogue = this->store.catalogue()) {
        report.drained = catalogue->drainedZones();
    }
    for (const ValueName name : { ValueName::Catalogue, ValueName::Instances }) {
        for (const CatalogueProblem &problem : this->store.lastProblems(name)) {
            report.problems.push_back(problem.message());
        }
    }
    return report.json();
}

void Daemon::Parts::run()
{
    this->awaitSignal();
    this->leave();
    this->awaitQuiet();
    Log::component("daemon").info("Ended.");
}

void Daemon::Parts::awaitSignal()
{
    std::promise<int> received;
    boost::asio::signal_set signals(this->control->context(), SIGTERM, SIGINT);
    signals.async_wait([&received](const boost::system::error_code &, int number) { received.set_value(number); });
    received.get_future().wait();
}

void Daemon::Parts::leave()
{
    Log::component("daemon").info("Leaving.");
    this->leavingSince = this->clock.now();
    this->leaving = true;
    this->peers.setSelf(InstanceState::Leaving);
    this->gossip();
    this->leases.leave();
    this->callerServer->closeAfterResponse();
}

bool Daemon::Parts::mayEnd() const
{
    const Duration since = this->clock.now() - this->leavingSince;
    if (since < this->settings.keep + addressMargin) {
        return false;
    }
    if (since > this->settings.keep + addressMargin + this->settings.maxDeadline + leaveMargin) {
        Log::component("daemon").warn("Work is left after the longest deadline.");
        return true;
    }
    const bool working
        = this->coordinator.running() > 0 || this->server.pending() > 0 || this->callerServer->activeRequests() > 0;
    return !working && this->leases.idle();
}

void Daemon::Parts::awaitQuiet()
{
    while (!this->mayEnd()) {
        std::this_thread::sleep_for(quietPoll);
    }
    this->callerServer->stopAccepting();
    this->callerServer->closeIdle();
    const TimePoint stopped = this->clock.now();
    while (this->callerServer->activeRequests() > 0 && this->clock.now() - stopped < this->settings.maxDeadline) {
        std::this_thread::sleep_for(quietPoll);
    }
    this->transport.connect(nullptr);
    this->network->stop();
}

}
