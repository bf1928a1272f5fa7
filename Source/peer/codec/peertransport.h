#pragma once

#include "peer/codec/messages.h"

namespace Lycheewall
{

/// What is known about a frame given to a link.
enum class SendResult {
    /// Written or queued; it may or may not arrive.
    HandedOver,
    /// Certainly not sent: there is no live link.
    Unreachable,
    /// Certainly not sent: the link's queue is full.
    QueueFull
};

/**
 * Sends messages to peers. Frames are never replayed on a new link.
 * Thread safety: any thread; never blocks and never calls back inside send().
 */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual SendResult send(const InstanceId &peer, const PeerMessage &message) = 0;
};

}
