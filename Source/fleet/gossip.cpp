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
constexpr std::uint64_t addressIntervalRounds = 8;
constexpr std::size_t maxSharedAddresses = 32;
/// In a large fleet: maximum number of unknown addresses of a message that are contacted.
constexpr std::size_t maxUnknownContacted = 4;

Log &logger()
{
    static Log &log = Log::component("fleet");
    return log;
}

template<typename Item> void shuffle(std::vector<Item> &items, Random &random)
{
    for (std::size_t left = items.size(); left > 1; --left) {
        std::swap(items[left - 1], items[random.uniformInteger(left)]);
    }
}

/// Reduces the items to a random sample of @p count, or keeps all if there are fewer.
template<typename Item> void keepRandomSample(std::vector<Item> &items, std::size_t count, Random &random)
{
    shuffle(items, random);
    items.resize(std::min(items.size(), count));
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

GossipMessage Gossip::buildMessage() const
{
    GossipMessage message;
    message.instance = this->settings.instance;
    message.incarnation = this->incarnation;
    message.state = this->currentState;
    message.zone = this->settings.zone;
    message.callerAddress = this->settings.callerAddress;
    message.peerAddress = this->settings.peerAddress;
    const Duration age = this->context.freshness.age();
    message.feedAgeMs = age == Duration::max() ? -1 : toMilliseconds(age);
    message.readsStore = this->context.readsStore();
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
    const std::vector<std::string> live = this->context.members.liveAddresses();
    std::vector<std::string> result;
    for (const std::string &address : addresses) {
        const bool isLive = std::find(live.begin(), live.end(), address) != live.end();
        if (!isLive && address != this->settings.peerAddress) {
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
    std::map<ZoneId, std::vector<std::string>> byZone;
    for (const Member *member : this->context.members.liveMembers()) {
        byZone[member->lastMessage.zone].push_back(member->lastMessage.peerAddress);
    }
    std::vector<std::string> result = std::move(byZone[this->settings.zone]);
    byZone.erase(this->settings.zone);
    const double probability = messagesPerRemoteZone / static_cast<double>(result.size() + 1);
    keepRandomSample(result, localPeersPerRound, this->context.random);
    for (const auto &[zone, addresses] : byZone) {
        if (this->context.random.uniformReal() < probability) {
            result.push_back(addresses[this->context.random.uniformInteger(addresses.size())]);
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
    std::vector<const Member *> recentMembers = this->context.members.liveMembers();
    const std::size_t limit = this->isUrgent() ? maxPiggybackedWhenUrgent : maxPiggybacked;
    // The most recent messages are the most useful ones. A random sample of them gives different receivers different
    // messages.
    std::sort(recentMembers.begin(), recentMembers.end(), [](const Member *left, const Member *right) {
        return left->lastMessageAt > right->lastMessageAt;
    });
    recentMembers.resize(std::min(recentMembers.size(), 3 * maxPiggybacked));
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
    std::vector<std::string> addresses = this->context.members.liveAddresses();
    keepRandomSample(addresses, maxSharedAddresses, this->context.random);
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
    GossipMessage ping = this->buildMessage();
    ping.requestsReply = true;
    this->sendToAll(this->context.members.overdueAddresses(), ping);
}

bool Gossip::applyMessage(const GossipMessage &message, Duration age)
{
    const MemberUpdate update = this->context.members.update(message, age);
    if (update == MemberUpdate::Ignored) {
        return false;
    }
    this->context.quota.recordRemoteUsage(message.instance, message.incarnation, message.usage, this->hasJoined());
    this->context.endpoints.applySlowReports(
        message.slowEndpoints, this->context.clock.now() - age, this->context.random);
    if (update == MemberUpdate::Refreshed) {
        return false;
    }
    logger().info("Instance " + message.instance.value() + " at " + message.peerAddress + " is live.");
    this->context.fleetChanged();
    return true;
}

void Gossip::contactUnknownAddresses(const std::vector<std::string> &addresses)
{
    std::vector<std::string> unknown = this->nonLiveAddresses(addresses);
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
    const auto decoded = decodeGossipMessage(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const GossipMessage &message = decoded.value();
    if (message.instance == this->settings.instance) {
        return;
    }
    const bool senderJoined = this->applyMessage(message, Duration::zero());
    for (const PiggybackedMessage &piggybacked : message.piggybacked) {
        this->applyMessage(piggybacked.message, Milliseconds(piggybacked.ageMs));
    }
    if (senderJoined || message.requestsAddresses || message.requestsReply) {
        GossipMessage response = this->buildMessage();
        response.requestsAddresses = false;
        if (message.requestsAddresses) {
            response.knownAddresses = this->sampleLiveAddresses();
        }
        this->context.sender.send(message.peerAddress, encodeGossipMessage(response));
    }
    this->contactUnknownAddresses(message.knownAddresses);
}

}
