#pragma once

#include "admission/tokencache.h"
#include "configuration/configurationreader.h"
#include "core/boottimeclock.h"
#include "daemon/daemon.h"
#include "daemon/fleetdirectory.h"
#include "daemon/peerdispatcher.h"
#include "http/callerinterface.h"
#include "http/endpointclient.h"
#include "http/httpserver.h"
#include "http/operatorinterface.h"
#include "http/platformclient.h"
#include "peer/codec/deferredtransport.h"
#include "peer/peernetwork.h"
#include "routing/groupregistry.h"
#include "runtime/asiotimerservice.h"

#include <atomic>

namespace Lycheewall
{

/// The parts of a daemon in the order in which they depend on each other.
class Daemon::Parts
{
public:
    explicit Parts(const Settings &daemonSettings);
    ~Parts();

    /// Opens the listening addresses and starts reading the platform.
    Result<void> start();

    void run();

private:
    std::vector<Worker *> requestWorkerPointers() const;
    SchedulerContext schedulerContext();
    CoordinatorContext coordinatorContext();
    PeerDispatcherContext dispatcherContext();
    CallerInterfaceContext callerContext();
    OperatorInterfaceContext operatorContext();

    void subscribeLeases();
    void readPlatform();
    void applyCatalogue();
    void applyInstances();
    void gossip();
    Gossip composeGossip() const;
    void becomeReadyWhenPossible();
    bool heardEnough() const;
    std::string stateJson() const;
    void awaitSignal();
    void leave();
    bool mayEnd() const;
    void awaitQuiet();

    const Settings settings;
    const Incarnation incarnation;
    BootTimeClock clock;
    Counters counters;
    Random random;
    TimePoint startedAt;
    std::unique_ptr<Worker> control;
    std::vector<std::unique_ptr<Worker>> requestWorkers;
    AsioTimerService timers;
    DeferredTransport transport;
    ConfigurationStore store;
    Freshness freshness;
    PeerTable peers;
    LeaseService leases;
    RateLimiter limiter;
    TokenCache tokens;
    RetryBudget budget;
    EndpointClient endpoints;
    GroupRegistry groups;
    FleetDirectory directory;
    OwnerRouter router;
    PartServer server;
    SnapshotChooser snapshots;
    GroupChooser chooser;
    RequestTraces traces;
    Coordinator coordinator;
    ConfigurationRelay relay;
    PlatformClient platform;
    ConfigurationReader reader;
    CallerInterface callerInterface;
    OperatorInterface operatorInterface;
    PeerDispatcher dispatcher;
    std::unique_ptr<PeerNetwork> network;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<ConfigurationSubscription> storeSubscription;
    std::vector<Subscription> periodic;
    std::atomic<bool> leaving { false };
    TimePoint leavingSince;
};

}
