#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "peer/codec/messages.h"

namespace Lycheewall
{

/**
 * Receives what happens on the links to peers.
 * Thread safety: all methods are called on the network's one thread, one after another; they must not block.
 */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    /// A message of a live link, after linkUp() and before linkLost(). The peer's Hello comes first; Ping and Pong are
    /// handled by the network.
    virtual void message(const InstanceId &from, PeerMessage message) = 0;

    /// A ping sent at @p asked was answered. Other messages may have waited in the socket while this process was
    /// paused, so only this tells that the peer was alive at a known moment.
    virtual void answered(const InstanceId &peer, TimePoint asked) = 0;

    /// A link has passed the handshake. A link that replaces an older one is preceded by linkLost() of the older.
    virtual void linkUp(const InstanceId &peer) = 0;

    /// Called once per link that was up. Frames handed over before may or may not have arrived.
    virtual void linkLost(const InstanceId &peer) = 0;
};

}
