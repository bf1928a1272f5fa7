#pragma once

#include "admission/tokencache.h"
#include "configuration/configurationrelay.h"
#include "configuration/freshness.h"
#include "lease/leaseservice.h"
#include "peer/peerhandler.h"
#include "routing/ownerrouter.h"
#include "routing/partserver.h"

#include <functional>

namespace Lycheewall
{

/// Everything referred to outlives the dispatcher.
struct PeerDispatcherContext
{
    PeerTable &peers;
    Freshness &freshness;
    LeaseService &leases;
    RateLimiter &limiter;
    TokenCache &tokens;
    ConfigurationRelay &relay;
    OwnerRouter &router;
    PartServer &server;
    PeerTransport &transport;
    /// Runs work that may block for long, such as parsing a catalogue.
    std::function<void(std::function<void()>)> runElsewhere;
};

/// Hands each message of a peer to the part that it is for. Thread safety: as PeerHandler.
class PeerDispatcher : public PeerHandler
{
public:
    explicit PeerDispatcher(const PeerDispatcherContext &dispatcherContext);

    void message(const InstanceId &from, PeerMessage message) override;
    void answered(const InstanceId &peer, TimePoint asked) override;
    void linkUp(const InstanceId &peer) override;
    void linkLost(const InstanceId &peer) override;

private:
    const PeerDispatcherContext context;
};

}
