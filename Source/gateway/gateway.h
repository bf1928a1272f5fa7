#pragma once

#include "core/boottimeclock.h"
#include "feed/feedapplier.h"
#include "feed/fleetfeedsourcepolicy.h"
#include "fleet/gossip.h"
#include "fleet/instancedirectory.h"
#include "fleet/relayclient.h"
#include "fleet/relayserver.h"
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

/// How an instance speaks with its surroundings. All references outlive the gateway.
struct GatewayCodecs
{
    const CallerCodec &callers;
    const EndpointCodec &endpoints;
    const AuxiliaryCodec &auxiliary;
    const FeedDecoder &feed;
};

/**
 * One instance: takes requests of callers, sends them to endpoints, follows the platform's data and the other
 * instances. Everything runs on one loop; state needs no locks.
 * Thread safety: none.
 */
class Gateway
{
public:
    /// How the platform's store is read.
    struct StoreSources
    {
        std::unique_ptr<FeedSource> feed;
        std::unique_ptr<RevisionSource> revision;
    };
    /// Makes the readers of the store on the gateway's loop.
    using StoreFactory = std::function<StoreSources(boost::asio::io_context &io)>;
    /// Reads the settings again. Nothing when they have not changed or cannot be read.
    using SettingsLoader = std::function<std::optional<GatewaySettings>()>;

    Gateway(GatewaySettings settings, const GatewayCodecs &codecs, const StoreFactory &store, SettingsLoader reload);

    /// Opens the sockets. Errors: those of the sockets.
    Result<void> start();

    /// Serves until the process is told to end.
    void run();

private:
    void joinFleet();
    Result<void> startSideServers();
    void takeDatagram(const std::string &bytes);
    void becomeReady();
    void fleetChanged();
    void setState(MemberState state);
    void sampleProcessor();
    void feedAdvanced();
    void answerDirectory(const std::string &target, const AuxiliaryServer::Respond &respond);
    void answerReady(const std::string &target, const AuxiliaryServer::Respond &respond);
    void answerMetrics(const AuxiliaryServer::Respond &respond);
    void awaitSignal();
    void reloadSettings();
    void logCounters();
    void leave();
    void stopServing();
    void endWhenDone();

    GatewaySettings settings;
    GatewayCodecs codecs;
    boost::asio::io_context io { 1 };
    BootTimeClock clock;
    AsioTimerService timers;
    Counters counters;
    LatencyHistogram durations;
    Random random;
    EndpointSet endpoints;
    EndpointChooser chooser;
    EndpointConnectionPool pool;
    FleetRetryBudget retryBudget;
    LatencyModel latencies;
    WeightedRoundRobin serviceBalancer;
    OrganisationQuota quota;
    RequestLog requestLog;
    ForwardingContext forwarding;
    FeedFreshness freshness;
    Forwarder forwarder;
    FeedReplica replica;
    FeedApplier live;
    MemberTable members;
    FleetFeedSourcePolicy plan;
    StoreSources store;
    SettingsLoader reload;
    FeedReader reader;
    InstanceInfo self;
    ActiveInstanceSet activeInstances;
    InstanceDirectory directory;
    PeerFeedServer feedServer;
    FrontContext frontContext;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<Gossip> gossip;
    std::unique_ptr<RelayClient> relayClient;
    std::unique_ptr<RelayServer> relayServer;
    std::unique_ptr<FrontServer> front;
    std::vector<std::unique_ptr<AuxiliaryServer>> sideServers;
    boost::asio::signal_set signals;
    TimePoint leavingSince;
    CpuMeter processor;
    std::vector<Subscription> subscriptions;
};

}
