#include "peer/peernetwork.h"

#include "peer/peernetworkcore.h"

namespace Lycheewall
{

Result<std::unique_ptr<PeerNetwork>>
PeerNetwork::create(PeerSettings settings, PeerHandler &handler, const Clock &clock, Counters &counters)
{
    auto core = std::make_unique<Core>(std::move(settings), handler, clock, counters);
    const std::error_code error = core->listen();
    if (error) {
        return failure(error);
    }
    return std::unique_ptr<PeerNetwork>(new PeerNetwork(std::move(core)));
}

PeerNetwork::PeerNetwork(std::unique_ptr<Core> networkCore)
    : core(std::move(networkCore))
    , thread([running = this->core.get()] { running->run(); })
{
}

PeerNetwork::~PeerNetwork()
{
    this->stop();
}

void PeerNetwork::setPeers(const std::vector<PeerAddress> &peers)
{
    this->core->setPeers(peers);
}

SendResult PeerNetwork::send(const InstanceId &peer, const PeerMessage &message)
{
    return this->core->send(peer, message);
}

bool PeerNetwork::linked(const InstanceId &peer) const
{
    return this->core->linked(peer);
}

std::uint16_t PeerNetwork::port() const
{
    return this->core->port();
}

void PeerNetwork::stop()
{
    if (this->thread.joinable()) {
        this->core->stop();
        this->thread.join();
    }
}

}
