#include "daemon/peerdispatcher.h"

namespace Lycheewall
{

namespace
{

/// One overload for each message.
class Dispatch
{
public:
    Dispatch(const PeerDispatcherContext &dispatcherContext, const InstanceId &sender)
        : context(dispatcherContext)
        , from(sender)
    {
    }

    void operator()(const Hello &) const
    {
    }
    void operator()(const Ping &) const
    {
    }
    void operator()(const Pong &) const
    {
    }
    void operator()(const Gossip &gossip) const
    {
        this->context.peers.gossip(this->from, gossip);
        this->context.relay.handle(this->from, gossip);
    }
    void operator()(const ConfigurationRequest &request) const
    {
        this->context.relay.handle(this->from, request);
    }
    void operator()(const ConfigurationValue &value) const
    {
        this->context.runElsewhere(
            [relay = &this->context.relay, sender = this->from, value] { relay->handle(sender, value); });
    }
    void operator()(const LeaseRequest &request) const
    {
        this->context.leases.handle(this->from, request);
    }
    void operator()(const LeaseReply &reply) const
    {
        this->context.leases.handle(this->from, reply);
    }
    void operator()(const LeaseRelease &release) const
    {
        this->context.leases.handle(this->from, release);
    }
    void operator()(const TokenRequest &request) const
    {
        this->context.transport.send(this->from, this->context.limiter.handle(this->from, request));
    }
    void operator()(const TokenReply &reply) const
    {
        this->context.tokens.handle(this->from, reply);
    }
    void operator()(const SubRequest &request) const
    {
        this->context.server.handle(this->from, request);
    }
    void operator()(const SubAnswer &answer) const
    {
        this->context.router.handle(this->from, answer);
    }
    void operator()(const SubCancel &cancel) const
    {
        this->context.server.handle(this->from, cancel);
    }

private:
    const PeerDispatcherContext &context;
    const InstanceId &from;
};

}

PeerDispatcher::PeerDispatcher(const PeerDispatcherContext &dispatcherContext)
    : context(dispatcherContext)
{
}

void PeerDispatcher::message(const InstanceId &from, PeerMessage message)
{
    this->context.peers.heard(from);
    std::visit(Dispatch(this->context, from), message);
}

void PeerDispatcher::answered(const InstanceId &peer, TimePoint asked)
{
    this->context.freshness.heard(peer, asked);
}

void PeerDispatcher::linkUp(const InstanceId &peer)
{
    this->context.peers.heard(peer);
}

void PeerDispatcher::linkLost(const InstanceId &peer)
{
    this->context.peers.linkLost(peer);
    this->context.tokens.peerLost(peer);
    this->context.router.peerLost(peer);
    this->context.server.peerLost(peer);
}

}
