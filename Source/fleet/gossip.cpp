#include "fleet/gossip.h"

#include "core/log.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// In a large fleet: peers of this instance's availability zone to which a round is sent.
constexpr std::size_t localPeersPerRound = 3;
/// In a large fleet: messages that all instances of a zone together send to each other zone in a round, on average.
constexpr double messagesPerRemoteZone = 2;
/// In a large fleet: maximum number of piggybacked messages, lower while rounds are frequent. Keeps the traffic of an
/// instance below 20 KB/s.
constexpr std::size_t maxPiggybacked = 18;
constexpr std::size_t maxPiggybackedWhenUrgent = 5;
/// Time after the start during which messages request known addresses.
constexpr Duration joinPeriod = std::chrono::seconds(2);
/// Seeds that are not live and unreachable members are probed every N rounds.
constexpr std::uint64_t probeIntervalRounds = 4;
/// Known addresses are sent every N rounds, up to a maximum number of addresses.
constexpr std::uint64_t addressIntervalRounds = 4;
constexpr std::size_t maxSharedAddresses = 32;
/// In a large fleet: maximum number of unknown addresses of a message that are contacted.
constexpr std::size_t maxUnknownContacted = 4;

/// Older feed data say nothing about the present state of the store.
constexpr std::int64_t maxHeardFeedAgeMs = 60'000;

Log &logger()
{
    static Log &log = Log::component("fleet");
    return log;
}

/// Returns @p count different random indices below @p size, or all of them if there are fewer. The cost is that of the
/// sample.
std::vector<std::size_t> sampleIndices(std::size_t size, std::size_t count, Random &random)
{
    std::vector<std::size_t> indices;
    for (std::size_t bound = size - std::min(size, count); bound < size; ++bound) {
        const std::size_t candidate = random.uniformInteger(bound + 1);
        const bool isTaken = std::find(indices.begin(), indices.end(), candidate) != indices.end();
        indices.push_back(isTaken ? bound : candidate);
    }
    return indices;
}

/// Reduces the items to a random sample of @p count, or keeps all if there are fewer.
template<typename Item> void keepRandomSample(std::vector<Item> &items, std::size_t count, Random &random)
{
    std::vector<Item> sample;
    for (const std::size_t index : sampleIndices(items.size(), count, random)) {
        sample.push_back(std::move(items[index]));
    }
    items = std::move(sample);
}

}

Gossip::Gossip(const GossipSettings &gossipSettings, Context gossipContext)
    : settings(gossipSettings)
    , context(std::move(gossipContext))
    , incarnation(this->context.random.bits())
    , startedAt(this->context.clock.now())
{
}

void Gossip::start()
{
    this->sendRound();
    this->timer = this->context.timers.every(this->settings.urgentPeriod, [this] { this->tick(); });
}

MemberState Gossip::state() const
{
    return this->currentState;
}

bool Gossip::hasJoined() const
{
    return this->context.clock.now() - this->startedAt > joinPeriod;
}

void Gossip::setState(MemberState state)
{
    if (this->currentState == state) {
        return;
    }
    this->currentState = state;
    this->sendRound();
}

void Gossip::setSeeds(const std::vector<std::string> &seeds)
{
    this->settings.seeds = seeds;
}

void Gossip::tick()
{
    this->expireMembers();
    const Duration sinceLastRound = this->context.clock.now() - this->lastRoundAt;
    if (sinceLastRound + this->settings.urgentPeriod / 2 >= this->currentPeriod()) {
        this->sendRound();
    }
}

bool Gossip::isUrgent() const
{
    return this->context.quota.isAnyNearLimit() || !this->hasJoined();
}

Duration Gossip::currentPeriod() const
{
    if (!this->isUrgent()) {
        return this->settings.period;
    }
    return this->context.members.isLargeFleet() ? this->settings.urgentPeriodInLargeFleet : this->settings.urgentPeriod;
}

void Gossip::expireMembers()
{
    const std::size_t knownBefore = this->context.members.knownCount();
    const auto newlyUnreachable = this->context.members.expireMembers();
    for (const InstanceId &instance : newlyUnreachable) {
        this->context.quota.markUnreachable(instance);
        this->context.counters.counter("lycheewall_fleet_silent_instances_total").add();
        logger().warn("Instance " + instance.value() + " is unreachable: no gossip message within the timeout.");
    }
    if (!newlyUnreachable.empty() || knownBefore != this->context.members.knownCount()) {
        this->context.fleetChanged();
    }
}

GossipMessage Gossip::buildMessage()
{
    GossipMessage message;
    message.instance = this->settings.instance;
    message.incarnation = this->incarnation;
    message.state = this->currentState;
    message.zone = this->settings.zone;
    message.callerAddress = this->settings.callerAddress;
    message.peerAddress = this->settings.peerAddress;
    const Duration age = this->context.freshness.replicaAge();
    message.feedAgeMs = age == Duration::max() ? -1 : toMilliseconds(age);
    message.readsStore = this->context.readsStore();
    const auto restoration = this->context.restoration.noticedRestoration();
    if (restoration && restoration->rewriteRemaining >= Milliseconds(1)) {
        message.restoration = { restoration->era, toMilliseconds(restoration->rewriteRemaining) };
    }
    message.cpuUsage = this->context.cpuUsage();
    message.requestsPerSecond = this->context.requestsPerSecond();
    message.requestsAddresses = !this->hasJoined();
    message.usage = this->context.quota.recentUsage();
    message.slowEndpoints = this->context.endpoints.locallySlowEndpoints(this->context.clock.now());
    return message;
}

std::vector<std::string> Gossip::selectTargets()
{
    std::vector<std::string> addresses
        = this->context.members.isLargeFleet() ? this->samplePeersByZone() : this->context.members.liveAddresses();
    addresses.erase(std::remove(addresses.begin(), addresses.end(), this->settings.peerAddress), addresses.end());
    return addresses;
}

std::vector<std::string> Gossip::nonLiveAddresses(const std::vector<std::string> &addresses) const
{
    std::vector<std::string> result;
    for (const std::string &address : addresses) {
        if (!this->context.members.isLiveAddress(address) && address != this->settings.peerAddress) {
            result.push_back(address);
        }
    }
    return result;
}

std::vector<std::string> Gossip::addressesToProbe() const
{
    std::vector<std::string> addresses = this->context.members.unreachableAddresses();
    const std::vector<std::string> seeds = this->nonLiveAddresses(this->settings.seeds);
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    return addresses;
}

std::vector<std::string> Gossip::samplePeersByZone()
{
    const auto &byZone = this->context.members.liveMembersByZone();
    const auto ownZone = byZone.find(this->settings.zone);
    const std::size_t peersInZone = ownZone == byZone.end() ? 0 : ownZone->second.size();
    const double probability = messagesPerRemoteZone / static_cast<double>(peersInZone + 1);
    std::vector<std::string> result;
    for (const auto &[zone, zoneMembers] : byZone) {
        const bool isOwnZone = zone == this->settings.zone;
        const bool isSelected = isOwnZone || this->context.random.uniformReal() < probability;
        const std::size_t count = isOwnZone ? localPeersPerRound : 1;
        for (const std::size_t index :
             sampleIndices(zoneMembers.size(), isSelected ? count : 0, this->context.random)) {
            result.push_back(zoneMembers[index]->lastMessage.peerAddress);
        }
    }
    return result;
}

std::vector<std::string> Gossip::sampleActivePeers()
{
    if (!this->context.members.isLargeFleet() || !this->context.activeInstances.isSelfActive()) {
        return {};
    }
    std::vector<std::string> addresses;
    for (const InstanceInfo &instance : this->context.activeInstances.inAllZones()) {
        if (instance.instance != this->settings.instance) {
            addresses.push_back(instance.peerAddress);
        }
    }
    keepRandomSample(addresses, maxFullMeshPeers, this->context.random);
    return addresses;
}

std::vector<PiggybackedMessage> Gossip::samplePiggybacked()
{
    if (!this->context.members.isLargeFleet()) {
        return {};
    }
    const std::size_t limit = this->isUrgent() ? maxPiggybackedWhenUrgent : maxPiggybacked;
    // The most recent messages are the most useful ones. A random sample of them gives different receivers different
    // messages.
    std::vector<const Member *> recentMembers = this->context.members.mostRecentMembers(3 * maxPiggybacked);
    keepRandomSample(recentMembers, limit, this->context.random);
    std::vector<PiggybackedMessage> piggybacked;
    for (const Member *member : recentMembers) {
        // The age is rounded up: the message must not appear newer than it is.
        const Duration age = this->context.clock.now() - member->lastMessageAt;
        piggybacked.push_back({ toMilliseconds(age) + 1, member->lastMessage });
    }
    return piggybacked;
}

void Gossip::sendRound()
{
    GossipMessage message = this->buildMessage();
    std::vector<std::string> compactTargets = this->sampleActivePeers();
    if (this->rounds % probeIntervalRounds == 0 || !this->hasJoined()) {
        const std::vector<std::string> probeTargets = this->addressesToProbe();
        compactTargets.insert(compactTargets.end(), probeTargets.begin(), probeTargets.end());
    }
    this->sendToAll(compactTargets, message);
    message.piggybacked = this->samplePiggybacked();
    if (this->rounds % addressIntervalRounds == 0) {
        message.knownAddresses = this->sampleLiveAddresses();
    }
    // In a large fleet only seeds are asked for addresses, as all other instances would send the same ones.
    message.requestsAddresses = message.requestsAddresses && !this->context.members.isLargeFleet();
    this->sendToAll(this->selectTargets(), message);
    ++this->rounds;
    this->lastRoundAt = this->context.clock.now();
    this->pingOverdueMembers();
}

std::vector<std::string> Gossip::sampleLiveAddresses()
{
    const auto &byZone = this->context.members.liveMembersByZone();
    std::vector<std::string> addresses;
    for (const std::size_t index :
         sampleIndices(this->context.members.liveCount() - 1, maxSharedAddresses, this->context.random)) {
        // The index counts through the members of all zones.
        std::size_t indexInZone = index;
        auto zone = byZone.begin();
        while (indexInZone >= zone->second.size()) {
            indexInZone -= zone->second.size();
            ++zone;
        }
        addresses.push_back(zone->second[indexInZone]->lastMessage.peerAddress);
    }
    return addresses;
}

void Gossip::sendToAll(const std::vector<std::string> &addresses, const GossipMessage &message)
{
    if (addresses.empty()) {
        return;
    }
    const std::string bytes = encodeGossipMessage(message);
    for (const std::string &address : addresses) {
        this->context.sender.send(address, bytes);
    }
}

void Gossip::pingOverdueMembers()
{
    const std::vector<std::string> overdue = this->context.members.overdueAddresses();
    if (overdue.empty()) {
        return;
    }
    GossipMessage ping = this->buildMessage();
    ping.requestsReply = true;
    this->sendToAll(overdue, ping);
}

MemberUpdate Gossip::applyMessage(GossipMessage message, Duration age)
{
    const InstanceId instance = message.instance;
    const MemberUpdate update = this->context.members.update(std::move(message), age);
    if (update == MemberUpdate::Ignored) {
        return update;
    }
    const GossipMessage &applied = this->context.members.find(instance)->lastMessage;
    this->context.quota.recordRemoteUsage(instance, applied.incarnation, applied.usage, this->hasJoined());
    this->context.endpoints.applySlowReports(
        applied.slowEndpoints, this->context.clock.now() - age, this->context.random);
    if (update == MemberUpdate::Joined) {
        logger().info("Instance " + instance.value() + " at " + applied.peerAddress + " is live.");
    }
    this->applyRestoration(applied, age);
    return update;
}

void Gossip::applyRestoration(const GossipMessage &message, Duration age)
{
    if (message.restoration) {
        const Duration remaining = Milliseconds(message.restoration->rewriteRemainingMs) - age;
        if (remaining > Duration::zero()) {
            this->context.restoration.restorationHeard({ message.restoration->era, remaining });
        }
        return;
    }
    const bool hasRecentData = message.feedAgeMs >= 0 && message.feedAgeMs <= maxHeardFeedAgeMs;
    // A starting instance knows no more than this one.
    if (hasRecentData && message.state != MemberState::Starting) {
        this->context.restoration.instanceHeard(age + Milliseconds(message.feedAgeMs));
    }
}

void Gossip::contactUnknownAddresses(const std::vector<std::string> &addresses)
{
    std::vector<std::string> unknown = this->nonLiveAddresses(addresses);
    if (unknown.empty()) {
        return;
    }
    if (this->context.members.isLargeFleet()) {
        // The messages of most instances arrive piggybacked anyway.
        keepRandomSample(unknown, maxUnknownContacted, this->context.random);
    }
    GossipMessage announcement = this->buildMessage();
    announcement.requestsAddresses = false;
    this->sendToAll(unknown, announcement);
}

void Gossip::handleDatagram(const std::string &bytes)
{
    auto decoded = decodeGossipMessage(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    GossipMessage &message = decoded.value();
    if (message.instance == this->settings.instance) {
        return;
    }
    const std::vector<PiggybackedMessage> piggybacked = std::move(message.piggybacked);
    const std::vector<std::string> knownAddresses = std::move(message.knownAddresses);
    const std::string sender = message.peerAddress;
    const bool requestsAddresses = message.requestsAddresses;
    const bool requestsReply = message.requestsReply;
    const bool senderJoined = this->applyMessage(std::move(message), Duration::zero()) == MemberUpdate::Joined;
    bool anyJoined = senderJoined;
    for (const PiggybackedMessage &item : piggybacked) {
        anyJoined = this->applyMessage(item.message, Milliseconds(item.ageMs)) == MemberUpdate::Joined || anyJoined;
    }
    if (anyJoined) {
        this->context.fleetChanged();
    }
    if (senderJoined || requestsAddresses || requestsReply) {
        this->reply(sender, requestsAddresses);
    }
    this->contactUnknownAddresses(knownAddresses);
}

void Gossip::reply(const std::string &address, bool withAddresses)
{
    GossipMessage response = this->buildMessage();
    response.requestsAddresses = false;
    if (withAddresses) {
        response.knownAddresses = this->sampleLiveAddresses();
    }
    this->context.sender.send(address, encodeGossipMessage(response));
}

}
