#include "membership/peertable.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// True if @p message was sent before @p newest but has arrived later: a process that leaves does not become ready.
bool isOvertaken(const std::optional<Gossip> &newest, const Gossip &message)
{
    return newest && newest->incarnation == message.incarnation && newest->state == InstanceState::Leaving
        && message.state != InstanceState::Leaving;
}

}

PeerTable::PeerTable(const Clock &timeSource, InstanceId selfId)
    : clock(timeSource)
    , self(std::move(selfId))
    , list(std::make_shared<const InstanceList>())
{
}

void PeerTable::setList(std::shared_ptr<const InstanceList> newList, ValueVersion version)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    if (version < this->listVersion) {
        return;
    }
    this->list = std::move(newList);
    this->listVersion = version;
    for (auto entry = this->peerById.begin(); entry != this->peerById.end();) {
        if (this->list->find(entry->first) != nullptr) {
            ++entry;
            continue;
        }
        this->dropClaims(entry->first, entry->second);
        entry = this->peerById.erase(entry);
    }
    for (const ListedInstance &listed : this->list->instances()) {
        if (listed.id != this->self) {
            this->peerById.try_emplace(listed.id, Peer { std::nullopt, now, false, std::nullopt });
        }
    }
}

void PeerTable::note(Peer &peer)
{
    peer.lastHeard = this->clock.now();
    peer.linkBroken = false;
}

void PeerTable::heard(const InstanceId &peer)
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->peerById.find(peer);
    if (entry != this->peerById.end()) {
        this->note(entry->second);
    }
}

void PeerTable::dropClaims(const InstanceId &id, const Peer &peer)
{
    if (!peer.said) {
        return;
    }
    for (const ResourceId &resource : peer.said->held) {
        const auto claim = this->claims.find(resource);
        if (claim != this->claims.end() && claim->second.holder == id) {
            this->claims.erase(claim);
        }
    }
}

void PeerTable::gossip(const InstanceId &peer, const Gossip &message)
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->peerById.find(peer);
    if (entry == this->peerById.end()) {
        return;
    }
    if (isOvertaken(entry->second.said, message)) {
        this->note(entry->second);
        return;
    }
    // The message states everything that is known of a peer, so it replaces what an earlier incarnation said.
    this->dropClaims(peer, entry->second);
    this->note(entry->second);
    entry->second.said = message;
    for (const ResourceId &resource : message.held) {
        this->claims[resource] = Claim { peer, *entry->second.lastHeard };
    }
}

void PeerTable::linkLost(const InstanceId &peer)
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->peerById.find(peer);
    if (entry != this->peerById.end()) {
        entry->second.linkBroken = true;
    }
}

void PeerTable::setSelf(InstanceState state)
{
    const std::lock_guard lock(this->mutex);
    this->selfState = state;
}

PeerHealth PeerTable::healthOf(const InstanceId &id, const Peer &peer) const
{
    const TimePoint now = this->clock.now();
    if (!peer.lastHeard) {
        return now - peer.listedSince < deadAfter ? PeerHealth::Unknown : PeerHealth::Dead;
    }
    const Duration silence = now - *peer.lastHeard;
    if (silence >= deadAfter) {
        return PeerHealth::Dead;
    }
    if (silence >= suspectAfter || peer.linkBroken) {
        return PeerHealth::Suspect;
    }
    const ListedInstance *listed = this->list->find(id);
    const bool listedLeaving = listed == nullptr || listed->state == ListedState::ShuttingDown;
    const bool saysLeaving = peer.said && peer.said->state == InstanceState::Leaving;
    return listedLeaving || saysLeaving ? PeerHealth::Leaving : PeerHealth::Alive;
}

PeerHealth PeerTable::health(const InstanceId &peer) const
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->peerById.find(peer);
    return entry == this->peerById.end() ? PeerHealth::Unknown : this->healthOf(peer, entry->second);
}

bool PeerTable::isReady(const ListedInstance &listed) const
{
    if (listed.state == ListedState::ShuttingDown) {
        return false;
    }
    if (listed.id == this->self) {
        return this->selfState == InstanceState::Ready;
    }
    const auto entry = this->peerById.find(listed.id);
    if (entry == this->peerById.end() || this->healthOf(listed.id, entry->second) != PeerHealth::Alive) {
        return false;
    }
    return entry->second.said && entry->second.said->state == InstanceState::Ready;
}

bool PeerTable::mayOwn(const InstanceId &instance) const
{
    const std::lock_guard lock(this->mutex);
    const ListedInstance *listed = this->list->find(instance);
    if (listed == nullptr || !this->isReady(*listed)) {
        return false;
    }
    const auto entry = this->peerById.find(instance);
    return entry == this->peerById.end() || !(entry->second.said->listVersion < this->listVersion);
}

bool PeerTable::listIsStale() const
{
    const std::lock_guard lock(this->mutex);
    return std::any_of(this->peerById.begin(), this->peerById.end(), [this](const auto &entry) {
        const auto &[id, peer] = entry;
        return peer.said && this->listVersion < peer.said->listVersion && this->healthOf(id, peer) != PeerHealth::Dead;
    });
}

std::vector<InstanceId> PeerTable::peers() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<InstanceId> ids;
    for (const ListedInstance &listed : this->list->instances()) {
        if (listed.id != this->self) {
            ids.push_back(listed.id);
        }
    }
    return ids;
}

std::vector<ReadyInstance> PeerTable::ready() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ReadyInstance> instances;
    for (const ListedInstance &listed : this->list->instances()) {
        if (this->isReady(listed)) {
            instances.push_back({ listed.id, listed.zone, listed.callerAddress });
        }
    }
    return instances;
}

std::optional<InstanceId> PeerTable::announcedHolder(const ResourceId &resource) const
{
    const std::lock_guard lock(this->mutex);
    const auto claim = this->claims.find(resource);
    if (claim == this->claims.end()) {
        return std::nullopt;
    }
    const auto peer = this->peerById.find(claim->second.holder);
    if (peer == this->peerById.end()) {
        return std::nullopt;
    }
    const PeerHealth health = this->healthOf(claim->second.holder, peer->second);
    if (health != PeerHealth::Alive && health != PeerHealth::Leaving) {
        return std::nullopt;
    }
    return claim->second.holder;
}

std::set<EndpointId> PeerTable::coldEndpoints() const
{
    const std::lock_guard lock(this->mutex);
    std::set<EndpointId> cold;
    for (const auto &[id, peer] : this->peerById) {
        if (peer.said && this->healthOf(id, peer) != PeerHealth::Dead) {
            cold.insert(peer.said->cold.begin(), peer.said->cold.end());
        }
    }
    return cold;
}

std::pair<ValueVersion, InstanceId> PeerTable::newest(ValueName name) const
{
    const std::lock_guard lock(this->mutex);
    std::pair<ValueVersion, InstanceId> best;
    for (const auto &[id, peer] : this->peerById) {
        if (!peer.said) {
            continue;
        }
        const ValueVersion version
            = name == ValueName::Catalogue ? peer.said->catalogueVersion : peer.said->listVersion;
        if (best.first < version) {
            best = { version, id };
        }
    }
    return best;
}

}
