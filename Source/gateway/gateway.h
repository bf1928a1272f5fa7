#pragma once

#include "core/boottimeclock.h"
#include "feed/feedapplier.h"
#include "feed/fleetfeedsourcepolicy.h"
#include "fleet/gossip.h"
#include "fleet/instancedirectory.h"
#include "fleet/ratelimitshare.h"
#include "fleet/relayclient.h"
#include "fleet/relayserver.h"
#include "fleet/requestload.h"
#include "forwarding/routeexplainer.h"
#include "gateway/auxiliarycodec.h"
#include "gateway/datagramsocket.h"
#include "gateway/endpointconnectionpool.h"
#include "gateway/frontserver.h"
#include "gateway/gatewaysettings.h"
#include "gateway/peerfeed.h"
#include "runtime/asiotimerservice.h"
#include "runtime/cpumeter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace Lycheewall
{

/// The codecs of an instance. The references must outlive the gateway.
struct GatewayCodecs
{
    const CallerCodec &callers;
    const EndpointCodec &endpoints;
    const AuxiliaryCodec &auxiliary;
    const FeedDecoder &feed;
};

/**
 * One instance: forwards requests of callers to endpoints, replicates the platform's feed and exchanges gossip messages
 * with the other instances. Everything runs on one event loop, so that the state needs no locks.
 * Thread safety: none.
 */
class Gateway
{
public:
    /// The sources that read the platform's store.
    struct StoreSources
    {
        std::unique_ptr<FeedSource> feed;
        std::unique_ptr<RevisionSource> revision;
    };
    /// Creates the sources; they run on the gateway's event loop @p io.
    using StoreFactory = std::function<StoreSources(boost::asio::io_context &io)>;
    /// Reloads the settings. Returns std::nullopt if they have not changed or cannot be read.
    using SettingsLoader = std::function<std::optional<GatewaySettings>()>;

    Gateway(GatewaySettings settings,
            const GatewayCodecs &codecs,
            const StoreFactory &storeFactory,
            SettingsLoader settingsLoader);

    /// Opens the sockets and starts the timers. Precondition: called once. Errors: std::errc::invalid_argument for a
    /// bad address, else those of the sockets.
    Result<void> start();

    /// Runs the event loop until SIGTERM or SIGINT has been received and the shutdown is complete. Precondition:
    /// start() has succeeded.
    void run();

private:
    void createFleetComponents();
    /// True if the settings name a seed that is another instance.
    bool hasOtherSeed() const;
    Result<void> startAuxiliaryServers();
    void dispatchDatagram(const std::string &bytes);
    void updateReadiness();
    void updateFleetShare();
    void updateRateLimitShare();
    double ownRequestsPerSecond() const;
    void setState(MemberState state);
    void sampleCpuUsage();
    void handleRestoration();
    void handleFeedUpdate();
    void handleDirectoryRequest(const std::string &target, const AuxiliaryServer::Respond &respond);
    void handleReadinessRequest(const std::string &target, const AuxiliaryServer::Respond &respond);
    void handleMetricsRequest(const std::string &target, const AuxiliaryServer::Respond &respond);
    void awaitSignal();
    void reloadSettings();
    void logCounters();
    void applyMachineLimits();
    /// What all accepted connections hold, in the format of the metrics.
    std::string connectionGauges() const;
    void beginShutdown();
    void stopServing();
    void stopWhenRequestsFinished();

    GatewaySettings settings;
    GatewayCodecs codecs;
    boost::asio::io_context io { 1 };
    BootTimeClock clock;
    AsioTimerService timers;
    Counters counters;
    LatencyHistogram requestDurations;
    Random random;
    EndpointSet endpoints;
    EndpointChooser chooser;
    EndpointStatementHandler statementHandler;
    EndpointConnectionPool pool;
    FleetRetryBudget retryBudget;
    LatencyModel latencies;
    WeightedRoundRobin serviceBalancer;
    OrganisationQuota quota;
    RequestLog requestLog;
    ThrottledAdmission throttledAdmission;
    OverloadControl overloadControl;
    ForwardingContext forwarding;
    FeedFreshness freshness;
    Forwarder forwarder;
    RouteExplainer explainer;
    FeedReplica replica;
    FeedApplier feedApplier;
    MemberTable members;
    FleetFeedSourcePolicy feedSourcePolicy;
    StoreSources store;
    SettingsLoader settingsLoader;
    FeedReader reader;
    InstanceInfo self;
    ActiveInstanceSet activeInstances;
    RateLimitShare rateLimitShare;
    InstanceDirectory directory;
    PeerFeedServer feedServer;
    std::shared_ptr<ConnectionBudget> connectionBudget;
    FrontContext frontContext;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<Gossip> gossip;
    std::unique_ptr<RelayClient> relayClient;
    std::unique_ptr<RelayServer> relayServer;
    std::unique_ptr<FrontServer> front;
    std::vector<std::unique_ptr<AuxiliaryServer>> auxiliaryServers;
    boost::asio::signal_set signals;
    TimePoint shutdownStartedAt;
    CpuMeter cpuMeter;
    RequestLoad requestLoad;
    /// Requests of callers and of other instances that had been received when the CPU usage was last sampled.
    std::uint64_t requestsAtLastSample = 0;
    std::vector<Subscription> subscriptions;
};

}
