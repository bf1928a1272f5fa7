#include "gateway/gateway.h"

#include "core/log.h"
#include "fleet/datagramkind.h"
#include "forwarding/routequerycodec.h"
#include "gateway/explanationhandler.h"
#include "runtime/eventloop.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>

namespace Lycheewall
{

namespace
{

constexpr Duration connectionSweepPeriod = Milliseconds(1000);
constexpr Duration cpuSamplePeriod = Milliseconds(1000);
/// As often as the instances report their request rates to each other.
constexpr Duration rateLimitSharePeriod = Milliseconds(500);
/// The settings file is also reloaded periodically, because it may change without a SIGHUP.
constexpr Duration reloadPeriod = std::chrono::seconds(5);
constexpr Duration counterLogPeriod = std::chrono::seconds(10);
/// Upper bound of the fleet share, for connection limits and the retry budget, until the other instances had time to
/// respond. A new instance that knows no other one would otherwise use the full connection limit of each endpoint, and
/// endpoints would reset its connections.
constexpr double maxShareBeforeJoined = 1.0 / 8;
/// The fleet share is updated this long after the start, when Gossip::hasJoined() has become true.
constexpr Duration joinDelay = Milliseconds(2100);
constexpr Duration shutdownCheckPeriod = Milliseconds(50);
/// Requests that are still in flight get their replies this long before the process ends.
constexpr Duration finalReplyTime = Milliseconds(400);
/// Time for the first request on a connection that was accepted just before the listening socket was closed.
constexpr Duration firstRequestTime = Milliseconds(300);
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

Log &logger()
{
    static Log &log = Log::component("gateway");
    return log;
}

InstanceInfo ownInstance(const GatewaySettings &settings)
{
    InstanceInfo own;
    own.instance = settings.instance;
    own.zone = settings.zone;
    own.callerAddress = settings.callerAddress;
    own.peerAddress = settings.peerAddress;
    own.cpuUsage.availableCores = settings.cpuCores;
    return own;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

Gateway::Gateway(GatewaySettings gatewaySettings,
                 const GatewayCodecs &gatewayCodecs,
                 const StoreFactory &storeFactory,
                 SettingsLoader settingsLoadFunction)
    : settings(std::move(gatewaySettings))
    , codecs(gatewayCodecs)
    , timers(io)
    , random(randomSeed())
    , chooser(endpoints, settings.zone, random)
    , statementHandler(clock, counters, random)
    , pool(io, clock, timers, counters, statementHandler, codecs.endpoints)
    , retryBudget(settings.retryLimits, clock, random)
    , quota(clock)
    , requestLog(clock)
    , overloadControl(endpoints, random)
    , forwarding { clock,      timers,      counters,           endpoints,       chooser,
                   pool,       retryBudget, latencies,          serviceBalancer, quota,
                   requestLog, random,      throttledAdmission, overloadControl, pool.responseMemory(),
                   nullptr }
    , freshness(clock)
    , forwarder(settings.forwarding, forwarding, freshness)
    , explainer({ forwarding, forwarder, freshness, pool }, { settings.instance, settings.zone })
    , feedApplier({ clock, timers, counters, codecs.feed, endpoints, forwarder, quota })
    , members(clock, settings.instance, settings.zone)
    , feedSourcePolicy(
          members,
          settings.instance,
          settings.zone,
          [this](const std::string &address) { return std::make_shared<PeerFeedSource>(this->io, address); })
    , store(storeFactory(io))
    , settingsLoader(std::move(settingsLoadFunction))
    , reader(settings.feed,
             { clock,
               timers,
               counters,
               replica,
               freshness,
               *store.feed,
               *store.revision,
               feedSourcePolicy,
               [this] { this->feedApplier.storeRecovered(); },
               [this] { this->handleRestoration(); },
               [this] {
                   this->handleFeedUpdate();
               } })
    , self(ownInstance(settings))
    , activeInstances(members, self)
    , rateLimitShare(members)
    , directory(activeInstances)
    , feedServer(clock, timers, replica, freshness)
    , connectionBudget(std::make_shared<ConnectionBudget>(clock, counters, ConnectionLimits()))
    , frontContext { clock, counters, forwarder, codecs.callers, requestDurations, connectionBudget }
    , signals(io)
    , cpuMeter(clock)
{
    this->endpoints.setCounters(this->counters);
    this->replica.setListener([this](const FeedEvent &event) { this->feedApplier.apply(event); });
    this->connectionBudget->setEndpointSockets([this] { return this->pool.connectionCount(); });
    this->applyMachineLimits();
}

void Gateway::applyMachineLimits()
{
    const ConnectionLimits limits
        = ConnectionLimits::ofMachine(this->settings.memoryLimitBytes, this->settings.maxDescriptors);
    this->connectionBudget->setLimits(limits);
    this->pool.responseMemory()->setLimits({ limits.responseBytes, limits.allResponseBytes });
}

Result<void> Gateway::start()
{
    auto socket = DatagramSocket::create(this->io,
                                         this->settings.peerAddress,
                                         this->counters,
                                         [this](const std::string &bytes) { this->dispatchDatagram(bytes); });
    if (!socket) {
        return socket.error();
    }
    this->datagrams = std::move(socket.value());
    this->createFleetComponents();
    const auto auxiliary = this->startAuxiliaryServers();
    if (!auxiliary) {
        return auxiliary.error();
    }
    auto frontServer = FrontServer::create(this->io, this->settings.callerAddress, this->frontContext);
    if (!frontServer) {
        return frontServer.error();
    }
    this->front = std::move(frontServer.value());
    this->awaitSignal();
    if (this->hasOtherSeed()) {
        this->reader.restoration().expectInstances();
    }
    this->gossip->start();
    this->updateFleetShare();
    this->subscriptions.push_back(this->timers.after(joinDelay, [this] { this->updateFleetShare(); }));
    this->reader.start();
    this->subscriptions.push_back(
        this->timers.every(connectionSweepPeriod, [this] { this->pool.closeUnusableConnections(); }));
    this->subscriptions.push_back(this->timers.every(cpuSamplePeriod, [this] { this->sampleCpuUsage(); }));
    this->subscriptions.push_back(this->timers.every(rateLimitSharePeriod, [this] { this->updateRateLimitShare(); }));
    this->subscriptions.push_back(this->timers.every(reloadPeriod, [this] { this->reloadSettings(); }));
    this->subscriptions.push_back(this->timers.every(counterLogPeriod, [this] { this->logCounters(); }));
    return success();
}

void Gateway::createFleetComponents()
{
    GossipSettings gossipSettings;
    gossipSettings.instance = this->settings.instance;
    gossipSettings.zone = this->settings.zone;
    gossipSettings.callerAddress = this->settings.callerAddress;
    gossipSettings.peerAddress = this->settings.peerAddress;
    gossipSettings.seeds = this->settings.seeds;
    this->gossip = std::make_unique<Gossip>(gossipSettings,
                                            Gossip::Context { this->clock,
                                                              this->timers,
                                                              this->random,
                                                              this->counters,
                                                              *this->datagrams,
                                                              this->members,
                                                              this->quota,
                                                              this->freshness,
                                                              this->reader.restoration(),
                                                              this->endpoints,
                                                              this->activeInstances,
                                                              [this] { this->updateFleetShare(); },
                                                              [this] { return this->self.cpuUsage; },
                                                              [this] { return this->ownRequestsPerSecond(); },
                                                              [this] {
                                                                  return this->reader.readsFromStore();
                                                              } });
    this->relayClient = std::make_unique<RelayClient>(
        RelayClient::Context {
            this->clock, this->counters, this->random, *this->datagrams, this->activeInstances, this->endpoints },
        this->settings.peerAddress,
        this->settings.zone);
    this->relayServer = std::make_unique<RelayServer>(this->forwarding, this->forwarder, *this->datagrams);
    this->forwarding.relay = this->relayClient.get();
}

bool Gateway::hasOtherSeed() const
{
    return std::any_of(this->settings.seeds.begin(), this->settings.seeds.end(), [this](const std::string &seed) {
        return seed != this->settings.peerAddress;
    });
}

Result<void> Gateway::startAuxiliaryServers()
{
    const auto startServer = [this](const std::string &address, AuxiliaryServer::Handler handler) -> Result<void> {
        if (address.empty()) {
            return success();
        }
        auto server = AuxiliaryServer::create(this->io, address, this->connectionBudget, std::move(handler));
        if (!server) {
            return server.error();
        }
        this->auxiliaryServers.push_back(std::move(server.value()));
        return success();
    };
    const auto peers = startServer(this->settings.peerAddress, [this](const std::string &target, auto respond) {
        this->feedServer.handle(target, std::move(respond));
    });
    const auto directoryServer
        = startServer(this->settings.directoryAddress, [this](const std::string &target, auto respond) {
              this->handleDirectoryRequest(target, respond);
          });
    const auto ready = startServer(this->settings.readinessAddress, [this](const std::string &target, auto respond) {
        this->handleReadinessRequest(target, respond);
    });
    const auto metrics = startServer(this->settings.metricsAddress, [this](const std::string &target, auto respond) {
        this->handleMetricsRequest(target, respond);
    });
    for (const auto &result : { peers, directoryServer, ready, metrics }) {
        if (!result) {
            return result.error();
        }
    }
    return success();
}

void Gateway::run()
{
    logger().info("Instance " + this->settings.instance.value() + " in zone " + this->settings.zone.value()
                  + " has started and listens for callers on " + this->settings.callerAddress + ".");
    runEventLoop(this->io, [this](const std::exception &error) {
        this->counters.counter("lycheewall_gateway_handler_errors_total").add();
        logger().error(std::string("The handling of an event failed: ") + error.what() + ".");
    });
    logger().info("Instance " + this->settings.instance.value() + " has stopped.");
}

void Gateway::dispatchDatagram(const std::string &bytes)
{
    const std::string kind = bytes.substr(0, 1);
    if (kind == DatagramKind::relayRequest) {
        this->relayServer->handleRequest(bytes.substr(1));
    } else if (kind == DatagramKind::relayResponse) {
        this->relayClient->handleResponse(bytes.substr(1));
    } else if (kind == DatagramKind::relayCancel) {
        this->relayServer->handleCancel(bytes.substr(1));
    } else {
        this->gossip->handleDatagram(bytes);
    }
}

double Gateway::ownRequestsPerSecond() const
{
    return this->forwarder.requestRate().perSecond(this->clock.now());
}

void Gateway::updateRateLimitShare()
{
    const double share = this->rateLimitShare.value(this->endpoints.fleetShare(), this->ownRequestsPerSecond());
    this->endpoints.setRateLimitShare(this->gossip->hasJoined() ? share : std::min(share, maxShareBeforeJoined));
}

void Gateway::updateFleetShare()
{
    const double share = this->activeInstances.ownFleetShare();
    this->endpoints.setFleetShare(this->gossip->hasJoined() ? share : std::min(share, maxShareBeforeJoined));
    this->updateRateLimitShare();
    this->retryBudget.setFleetShare(this->endpoints.fleetShare());
    this->quota.setInstanceCounts(this->members.liveCount(), this->members.knownCount());
}

void Gateway::setState(MemberState state)
{
    this->self.ready = state == MemberState::Ready;
    this->gossip->setState(state);
    this->updateFleetShare();
}

void Gateway::sampleCpuUsage()
{
    const std::uint64_t requests = this->frontContext.requestsReceived + this->relayServer->requestsReceived();
    const bool hadRequests = requests > this->requestsAtLastSample || this->frontContext.requestsInFlight > 0;
    this->requestLoad.addInterval(this->cpuMeter.sample(), hadRequests);
    this->requestsAtLastSample = requests;
    this->self.cpuUsage.requestCores = this->requestLoad.cores();
    // CPU usage decides which instances are active, and thereby the shares of the fleet-wide limits.
    this->updateFleetShare();
}

void Gateway::handleRestoration()
{
    this->feedApplier.storeRestored();
    // A process that starts now may have listed the copy, and accepts withdrawn keys until it hears of the restoration.
    this->gossip->announceState();
}

void Gateway::handleFeedUpdate()
{
    this->feedServer.replicaUpdated();
    this->updateReadiness();
}

void Gateway::updateReadiness()
{
    const bool isStarting = this->gossip->state() == MemberState::Starting;
    if (isStarting && this->forwarder.table() && !this->reader.restoration().isAwaitingInstance()) {
        logger().info("Ready to serve requests with " + std::to_string(this->endpoints.size()) + " endpoints.");
        this->setState(MemberState::Ready);
    }
}

void Gateway::handleDirectoryRequest(const std::string &target, const AuxiliaryServer::Respond &respond)
{
    const auto addressRequest = this->codecs.auxiliary.decodeAddressRequest(target);
    if (!addressRequest) {
        respond({ statusNotFound, "text/plain", "unknown" });
        return;
    }
    const auto addresses = this->directory.addresses(addressRequest->zone);
    if (addresses.empty()) {
        respond({ statusUnavailable, "text/plain", "no instance is ready" });
        return;
    }
    respond(this->codecs.auxiliary.encodeAddresses(addresses, this->settings.addressTtl));
}

void Gateway::handleReadinessRequest(const std::string &target, const AuxiliaryServer::Respond &respond)
{
    if (!this->codecs.auxiliary.isReadinessRequest(target)) {
        respond({ statusNotFound, "text/plain", "unknown" });
        return;
    }
    const bool ready = this->gossip->state() == MemberState::Ready;
    respond({ ready ? statusOk : statusUnavailable, "text/plain", ready ? "ready" : "not ready" });
}

void Gateway::handleMetricsRequest(const std::string &target, const AuxiliaryServer::Respond &respond)
{
    if (isExplanationTarget(target)) {
        respond(handleExplanationRequest(this->explainer, target));
        return;
    }
    respond({ statusOk,
              "text/plain; version=0.0.4",
              this->counters.exposition() + this->connectionGauges()
                  + this->requestDurations.exposition("lycheewall_front_duration_ms") });
}

std::string Gateway::connectionGauges() const
{
    const auto gauge = [](const std::string &name, std::size_t value) {
        return "# TYPE " + name + " gauge\n" + name + ' ' + std::to_string(value) + '\n';
    };
    return gauge("lycheewall_front_open_connections", this->connectionBudget->connectionCount())
        + gauge("lycheewall_front_held_bytes", this->connectionBudget->heldBytes());
}

void Gateway::awaitSignal()
{
    boost::system::error_code error;
    for (const int number : { SIGTERM, SIGINT, SIGHUP }) {
        // This method runs again after each SIGHUP; adding a signal twice has no effect.
        this->signals.add(number, error);
        if (error) {
            logger().warn("Could not install the handler of signal " + std::to_string(number) + ": " + error.message()
                          + ".");
        }
    }
    this->signals.async_wait([this](const boost::system::error_code &waitError, int number) {
        if (waitError) {
            return;
        }
        if (number != SIGHUP) {
            this->beginShutdown();
            return;
        }
        this->reloadSettings();
        this->awaitSignal();
    });
}

void Gateway::reloadSettings()
{
    const auto reloaded = this->settingsLoader();
    if (!reloaded) {
        return;
    }
    this->retryBudget.setLimits(reloaded->retryLimits);
    this->forwarder.setSettings(reloaded->forwarding);
    this->gossip->setSeeds(reloaded->seeds);
    this->settings.shutdownServingTime = reloaded->shutdownServingTime;
    this->settings.shutdownTimeout = reloaded->shutdownTimeout;
    this->settings.addressTtl = reloaded->addressTtl;
    this->settings.memoryLimitBytes = reloaded->memoryLimitBytes;
    this->settings.maxDescriptors = reloaded->maxDescriptors;
    this->applyMachineLimits();
    logger().info(
        "Reloaded the settings: retry limits, feed age limits, seeds, shutdown times, the address TTL and the "
        "limits of memory and descriptors take effect.");
}

void Gateway::logCounters()
{
    std::ostringstream cpuUsage;
    cpuUsage << "request-cores=" << this->requestLoad.cores() << " control-cores=" << this->requestLoad.controlCores()
             << " available-cores=" << this->self.cpuUsage.availableCores
             << " connections=" << this->connectionBudget->connectionCount()
             << " held-bytes=" << this->connectionBudget->heldBytes()
             << " carries-work=" << (this->activeInstances.isSelfActive() ? "yes" : "no");
    logger().info("Counters: " + cpuUsage.str() + ' ' + this->counters.summary());
}

void Gateway::beginShutdown()
{
    logger().info("Received a termination signal; shutting down.");
    this->shutdownStartedAt = this->clock.now();
    this->frontContext.shuttingDown = true;
    this->forwarder.setStopTime(this->shutdownStartedAt + this->settings.shutdownTimeout - finalReplyTime);
    this->setState(MemberState::ShuttingDown);
    this->subscriptions.push_back(
        this->timers.after(this->settings.shutdownServingTime, [this] { this->stopServing(); }));
}

void Gateway::stopServing()
{
    this->front->closeIdleConnections();
    this->front->stopAccepting();
    this->subscriptions.push_back(
        this->timers.every(shutdownCheckPeriod, [this] { this->stopWhenRequestsFinished(); }));
}

void Gateway::stopWhenRequestsFinished()
{
    const Duration elapsed = this->clock.now() - this->shutdownStartedAt;
    if (elapsed > this->settings.shutdownTimeout - finalReplyTime) {
        this->front->finishRequests();
    } else if (elapsed > this->settings.shutdownServingTime + firstRequestTime) {
        this->front->closeIdleConnections();
    }
    const bool timedOut = elapsed > this->settings.shutdownTimeout;
    if (this->front->connectionCount() > 0 && !timedOut) {
        return;
    }
    if (this->frontContext.requestsInFlight > 0) {
        logger().warn(std::to_string(this->frontContext.requestsInFlight)
                      + " replies could not be sent before the shutdown timeout expired.");
    }
    this->io.stop();
}

}
