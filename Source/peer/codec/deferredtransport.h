#pragma once

#include "peer/codec/peertransport.h"

#include <atomic>

namespace Lycheewall
{

/**
 * A transport that parts can hold before the network exists.
 * Thread safety: any thread.
 */
class DeferredTransport : public PeerTransport
{
public:
    /// Null disconnects. @p transport must outlive its use here.
    void connect(PeerTransport *transport)
    {
        this->target.store(transport);
    }

    SendResult send(const InstanceId &peer, const PeerMessage &message) override
    {
        PeerTransport *transport = this->target.load();
        return transport == nullptr ? SendResult::Unreachable : transport->send(peer, message);
    }

private:
    std::atomic<PeerTransport *> target { nullptr };
};

}
