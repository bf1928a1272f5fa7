#include "fleet/gossip.h"

#include "core/log.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// In a larger fleet: instances of the own availability zone that are told at a time.
constexpr std::size_t largeFleetTargets = 3;
/// In a larger fleet: messages that all instances of a zone together send to each other zone at a time.
constexpr double messagesToOtherZone = 2;
/// In a larger fleet: messages of others that are passed on, and fewer of them while messages are frequent. Keeps an
/// instance below 20 KB/s.
constexpr std::size_t relayedMessages = 18;
constexpr std::size_t relayedWhenUrgent = 5;
/// During this time after the start, messages ask for the addresses of all instances.
constexpr Duration joinTime = std::chrono::seconds(2);
/// Seeds and silent instances are tried once in so many messages.
constexpr std::uint64_t probeEvery = 4;
/// Addresses are passed on once in so many messages, and no more than so many at a time.
constexpr std::uint64_t shareEvery = 8;
constexpr std::size_t sharedAddresses = 32;
/// In a larger fleet: unknown addresses of a message that an instance contacts.
constexpr std::size_t contactedUnknown = 4;

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

/// Keeps @p count random ones of the items, or all if there are fewer.
template<typename Item> void keepSome(std::vector<Item> &items, std::size_t count, Random &random)
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
    this->tellAll();
    this->timer = this->context.timers.every(this->settings.urgentPeriod, [this] { this->tick(); });
}

MemberState Gossip::state() const
{
    return this->current;
}

bool Gossip::hasJoined() const
{
    return this->context.clock.now() - this->startedAt > joinTime;
}

void Gossip::setState(MemberState state)
{
    if (this->current == state) {
        return;
    }
    this->current = state;
    this->tellAll();
}

void Gossip::setSeeds(const std::vector<std::string> &seeds)
{
    this->settings.seeds = seeds;
}

void Gossip::tick()
{
    this->sweep();
    const Duration quiet = this->context.clock.now() - this->toldAt;
    if (quiet + this->settings.urgentPeriod / 2 >= this->currentPeriod()) {
        this->tellAll();
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

void Gossip::sweep()
{
    const std::size_t before = this->context.members.knownCount();
    const auto fellSilent = this->context.members.expireMembers();
    for (const InstanceId &instance : fellSilent) {
        this->context.quota.markUnreachable(instance);
        this->context.counters.counter("lycheewall_fleet_silent_instances_total").add();
        logger().warn("Instance " + instance.value() + " is silent.");
    }
    if (!fellSilent.empty() || before != this->context.members.knownCount()) {
        this->context.fleetChanged();
    }
}

GossipMessage Gossip::compose() const
{
    GossipMessage message;
    message.instance = this->settings.instance;
    message.incarnation = this->incarnation;
    message.state = this->current;
    message.zone = this->settings.zone;
    message.callerAddress = this->settings.callerAddress;
    message.peerAddress = this->settings.peerAddress;
    const Duration age = this->context.freshness.age();
    message.feedAgeMs = age == Duration::max() ? -1 : toMilliseconds(age);
    message.readsStore = this->context.readsStore();
    message.cpuUsage = this->context.cpuUsage();
    message.requestsAddresses = !this->hasJoined();
    message.usage = this->context.quota.recentUsage();
    message.slowEndpoints = this->context.endpoints.locallySlowEndpoints(this->context.clock.now());
    return message;
}

std::vector<std::string> Gossip::targets()
{
    std::vector<std::string> addresses
        = this->context.members.isLargeFleet() ? this->someOfEachZone() : this->context.members.liveAddresses();
    addresses.erase(std::remove(addresses.begin(), addresses.end(), this->settings.peerAddress), addresses.end());
    return addresses;
}

std::vector<std::string> Gossip::unheard(const std::vector<std::string> &addresses) const
{
    const std::vector<std::string> heard = this->context.members.liveAddresses();
    std::vector<std::string> result;
    for (const std::string &address : addresses) {
        const bool isHeard = std::find(heard.begin(), heard.end(), address) != heard.end();
        if (!isHeard && address != this->settings.peerAddress) {
            result.push_back(address);
        }
    }
    return result;
}

std::vector<std::string> Gossip::addressesToProbe() const
{
    std::vector<std::string> addresses = this->context.members.unreachableAddresses();
    const std::vector<std::string> seeds = this->unheard(this->settings.seeds);
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    return addresses;
}

std::vector<std::string> Gossip::someOfEachZone()
{
    std::map<ZoneId, std::vector<std::string>> byZone;
    for (const Member *member : this->context.members.liveMembers()) {
        byZone[member->lastMessage.zone].push_back(member->lastMessage.peerAddress);
    }
    std::vector<std::string> result = std::move(byZone[this->settings.zone]);
    byZone.erase(this->settings.zone);
    const double chance = messagesToOtherZone / static_cast<double>(result.size() + 1);
    keepSome(result, largeFleetTargets, this->context.random);
    for (const auto &[zone, addresses] : byZone) {
        if (this->context.random.uniformReal() < chance) {
            result.push_back(addresses[this->context.random.uniformInteger(addresses.size())]);
        }
    }
    return result;
}

std::vector<std::string> Gossip::othersThatCarryWork()
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
    keepSome(addresses, maxFullMeshPeers, this->context.random);
    return addresses;
}

std::vector<PiggybackedMessage> Gossip::someOthers()
{
    if (!this->context.members.isLargeFleet()) {
        return {};
    }
    std::vector<const Member *> others = this->context.members.liveMembers();
    const std::size_t passedOn = this->isUrgent() ? relayedWhenUrgent : relayedMessages;
    // Recent messages are the most useful ones. Random ones of them are taken, so that the receivers get different
    // ones.
    std::sort(others.begin(), others.end(), [](const Member *left, const Member *right) {
        return left->lastMessageAt > right->lastMessageAt;
    });
    others.resize(std::min(others.size(), 3 * relayedMessages));
    keepSome(others, passedOn, this->context.random);
    std::vector<PiggybackedMessage> relayed;
    for (const Member *member : others) {
        // Rounded up: the message must not look newer than it is.
        const Duration age = this->context.clock.now() - member->lastMessageAt;
        relayed.push_back({ toMilliseconds(age) + 1, member->lastMessage });
    }
    return relayed;
}

void Gossip::tellAll()
{
    GossipMessage message = this->compose();
    std::vector<std::string> briefly = this->othersThatCarryWork();
    if (this->ticks % probeEvery == 0 || !this->hasJoined()) {
        const std::vector<std::string> probes = this->addressesToProbe();
        briefly.insert(briefly.end(), probes.begin(), probes.end());
    }
    this->sendAll(briefly, message);
    message.piggybacked = this->someOthers();
    if (this->ticks % shareEvery == 0) {
        message.knownAddresses = this->someAddresses();
    }
    // Only seeds are asked for addresses; in a large fleet each other instance would send the same ones.
    message.requestsAddresses = message.requestsAddresses && !this->context.members.isLargeFleet();
    this->sendAll(this->targets(), message);
    ++this->ticks;
    this->toldAt = this->context.clock.now();
    this->askQuietOnes();
}

std::vector<std::string> Gossip::someAddresses()
{
    std::vector<std::string> addresses = this->context.members.liveAddresses();
    keepSome(addresses, sharedAddresses, this->context.random);
    return addresses;
}

void Gossip::sendAll(const std::vector<std::string> &addresses, const GossipMessage &message)
{
    if (addresses.empty()) {
        return;
    }
    const std::string bytes = encodeGossipMessage(message);
    for (const std::string &address : addresses) {
        this->context.sender.send(address, bytes);
    }
}

void Gossip::askQuietOnes()
{
    GossipMessage question = this->compose();
    question.requestsReply = true;
    this->sendAll(this->context.members.overdueAddresses(), question);
}

bool Gossip::take(const GossipMessage &message, Duration age)
{
    const MemberNews news = this->context.members.update(message, age);
    if (news == MemberNews::None) {
        return false;
    }
    this->context.quota.recordRemoteUsage(message.instance, message.incarnation, message.usage, this->hasJoined());
    this->context.endpoints.applySlowReports(
        message.slowEndpoints, this->context.clock.now() - age, this->context.random);
    if (news == MemberNews::Newer) {
        return false;
    }
    logger().info("Instance " + message.instance.value() + " at " + message.peerAddress + " is heard from.");
    this->context.fleetChanged();
    return true;
}

void Gossip::contactUnknown(const std::vector<std::string> &addresses)
{
    std::vector<std::string> unknown = this->unheard(addresses);
    if (this->context.members.isLargeFleet()) {
        // Others pass on what most have said.
        keepSome(unknown, contactedUnknown, this->context.random);
    }
    GossipMessage hello = this->compose();
    hello.requestsAddresses = false;
    this->sendAll(unknown, hello);
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
    const bool isNew = this->take(message, Duration::zero());
    for (const PiggybackedMessage &relayed : message.piggybacked) {
        this->take(relayed.message, Milliseconds(relayed.ageMs));
    }
    if (isNew || message.requestsAddresses || message.requestsReply) {
        GossipMessage answer = this->compose();
        answer.requestsAddresses = false;
        if (message.requestsAddresses) {
            answer.knownAddresses = this->someAddresses();
        }
        this->context.sender.send(message.peerAddress, encodeGossipMessage(answer));
    }
    this->contactUnknown(message.knownAddresses);
}

}
