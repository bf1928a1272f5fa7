#pragma once

#include "core/clock.h"
#include "core/counters.h"
#include "core/result.h"
#include "peer/codec/peertransport.h"
#include "peer/peerhandler.h"
#include "peer/peersettings.h"

#include <memory>
#include <thread>
#include <vector>

namespace Lycheewall
{

/**
 * Links to the other daemons over websocketpp, on one Asio thread of its own. Of two daemons, the one with the smaller
 * instance id dials. Frames are never replayed on a new link.
 * Thread safety: send(), setPeers() and linked() may be called from any thread, also from the handler.
 */
class PeerNetwork : public PeerTransport
{
public:
    /// Listens and starts the thread. @p handler, @p clock and @p counters outlive the network.
    /// Errors: invalid_argument for an address that is not "ip:port", address_in_use when the port cannot be bound.
    static Result<std::unique_ptr<PeerNetwork>>
    create(PeerSettings settings, PeerHandler &handler, const Clock &clock, Counters &counters);

    /// As stop().
    ~PeerNetwork() override;

    /// The daemons to keep links with; links to others are closed. The entry of this daemon itself is skipped.
    void setPeers(const std::vector<PeerAddress> &peers);

    /// QueueFull also when the message is larger than a frame may be.
    SendResult send(const InstanceId &peer, const PeerMessage &message) override;

    /// Whether a link with this peer is up.
    bool linked(const InstanceId &peer) const;

    /// The port that peers connect to.
    std::uint16_t port() const;

    /// Writes out what is queued (for 250 ms at most), closes all links and ends the thread. No handler call comes
    /// after it. Precondition: not called from the handler.
    void stop();

private:
    class Core;

    explicit PeerNetwork(std::unique_ptr<Core> core);

    std::unique_ptr<Core> core;
    std::thread thread;
};

}
