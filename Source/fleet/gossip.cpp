#include "fleet/gossip.h"

#include "core/log.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Instances that are told at a time, at most. Smaller fleets are told as a whole.
constexpr std::size_t mostTargets = 12;
/// During this time after the start, messages ask for the addresses of all instances.
constexpr Duration joinTime = std::chrono::seconds(2);
/// Seeds and silent instances are tried once in so many messages.
constexpr std::uint64_t probeEvery = 4;
/// Addresses are passed on once in so many messages.
constexpr std::uint64_t shareEvery = 16;

Log &journal()
{
    static Log &log = Log::part("fleet");
    return log;
}

void shuffle(std::vector<std::string> &items, Random &random)
{
    for (std::size_t left = items.size(); left > 1; --left) {
        std::swap(items[left - 1], items[random.below(left)]);
    }
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

bool Gossip::isSettled() const
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
    const bool urgent = this->context.quota.isPressed() || !this->isSettled();
    if (urgent || quiet + this->settings.urgentPeriod / 2 >= this->settings.period) {
        this->tellAll();
    }
}

void Gossip::sweep()
{
    const std::size_t before = this->context.members.possibleCount();
    const auto fellSilent = this->context.members.sweep();
    for (const InstanceId &instance : fellSilent) {
        this->context.quota.noteSilence(instance);
        this->context.counters.counter("lycheewall_fleet_silent_instances_total").add();
        journal().warn("Instance " + instance.value() + " is silent.");
    }
    if (!fellSilent.empty() || before != this->context.members.possibleCount()) {
        this->context.fleetChanged();
    }
}

FleetMessage Gossip::compose() const
{
    FleetMessage message;
    message.instance = this->settings.instance;
    message.incarnation = this->incarnation;
    message.state = this->current;
    message.zone = this->settings.zone;
    message.callerAddress = this->settings.callerAddress;
    message.peerAddress = this->settings.peerAddress;
    const Duration age = this->context.freshness.age();
    message.feedAgeMs = age == Duration::max() ? -1 : toMilliseconds(age);
    message.readsStore = this->context.readsStore();
    message.joining = !this->isSettled();
    message.use = this->context.quota.use();
    return message;
}

std::vector<std::string> Gossip::targets()
{
    std::vector<std::string> addresses = this->context.members.aliveAddresses();
    if (addresses.size() > mostTargets) {
        shuffle(addresses, this->context.random);
        addresses.resize(mostTargets);
    }
    if (this->ticks % probeEvery == 0 || !this->isSettled()) {
        const auto silent = this->context.members.silentAddresses();
        addresses.insert(addresses.end(), silent.begin(), silent.end());
        addresses.insert(addresses.end(), this->settings.seeds.begin(), this->settings.seeds.end());
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    addresses.erase(std::remove(addresses.begin(), addresses.end(), this->settings.peerAddress), addresses.end());
    return addresses;
}

void Gossip::tellAll()
{
    FleetMessage message = this->compose();
    if (this->ticks % shareEvery == 0) {
        message.known = this->context.members.aliveAddresses();
    }
    const std::string bytes = encodeFleetMessage(message);
    for (const std::string &address : this->targets()) {
        this->context.sender.send(address, bytes);
    }
    ++this->ticks;
    this->toldAt = this->context.clock.now();
}

void Gossip::received(const std::string &bytes)
{
    const auto decoded = decodeFleetMessage(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const FleetMessage &message = decoded.value();
    if (message.instance == this->settings.instance) {
        return;
    }
    const bool isNew = this->context.members.heard(message);
    this->context.quota.noteUse(message.instance, message.incarnation, message.use, this->isSettled());
    if (isNew) {
        journal().info("Instance " + message.instance.value() + " at " + message.peerAddress + " is heard from.");
        this->context.fleetChanged();
    }
    if (isNew || message.joining) {
        FleetMessage answer = this->compose();
        answer.joining = false;
        answer.known = this->context.members.aliveAddresses();
        this->context.sender.send(message.peerAddress, encodeFleetMessage(answer));
    }
    if (!this->isSettled()) {
        FleetMessage hello = this->compose();
        const auto aliveAddresses = this->context.members.aliveAddresses();
        for (const std::string &address : message.known) {
            const bool known = std::find(aliveAddresses.begin(), aliveAddresses.end(), address) != aliveAddresses.end();
            if (!known && address != this->settings.peerAddress) {
                this->context.sender.send(address, encodeFleetMessage(hello));
            }
        }
    }
}

}
