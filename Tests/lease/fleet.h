#pragma once

#include "core/counters.h"
#include "core/manualclock.h"
#include "core/random.h"
#include "lease/leaseservice.h"
#include "membership/rendezvoushash.h"

#include <algorithm>
#include <map>
#include <set>

namespace Lycheewall
{

inline std::shared_ptr<const InstanceList> listOf(const std::vector<std::string> &names)
{
    std::vector<ListedInstance> entries;
    for (const std::string &name : names) {
        entries.push_back({ InstanceId(name), ZoneId("z"), name + ":1", name + ":2", ListedState::Live });
    }
    return std::make_shared<const InstanceList>(std::move(entries));
}

/// Timers of one process: they are held back while it is paused, and end with it.
class ProcessTimers : public TimerService
{
public:
    explicit ProcessTimers(ManualClock &base)
        : clock(base)
    {
    }
    Subscription after(Duration delay, std::function<void()> callback) override
    {
        return this->clock.after(delay, this->guarded(std::move(callback)));
    }
    Subscription every(Duration period, std::function<void()> callback) override
    {
        return this->clock.every(period, this->guarded(std::move(callback)));
    }
    void pause()
    {
        this->paused = true;
    }
    void resume()
    {
        this->paused = false;
        for (auto &[id, callback] : std::exchange(this->due, {})) {
            callback();
        }
    }

private:
    std::function<void()> guarded(std::function<void()> callback)
    {
        return [this, id = ++this->lastId, callback = std::move(callback)] {
            if (this->paused) {
                this->due[id] = callback;
            } else {
                callback();
            }
        };
    }

    ManualClock &clock;
    bool paused = false;
    int lastId = 0;
    std::map<int, std::function<void()>> due;
};

/// A clock that started at another time than the base and runs faster or slower.
class ProcessClock : public Clock
{
public:
    ProcessClock(const Clock &baseClock, Duration clockOffset, double clockRate)
        : base(baseClock)
        , offset(clockOffset)
        , rate(clockRate)
    {
    }
    TimePoint now() const override
    {
        const auto passed = this->base.now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(passed * this->rate) + this->offset);
    }

private:
    const Clock &base;
    Duration offset;
    double rate;
};

class Fleet;

/// One run of an instance. Subclasses add the parts under test.
class Node : public PeerTransport
{
public:
    Node(Fleet &owner, std::string instance, Duration clockOffset, double clockRate);
    ~Node() override = default;

    SendResult send(const InstanceId &peer, const PeerMessage &message) override;
    virtual void receive(const InstanceId &from, const PeerMessage &message);
    void setList(const std::shared_ptr<const InstanceList> &list, ValueVersion version);
    void gossip();

    Fleet &fleet;
    InstanceId id;
    ProcessClock clock;
    ProcessTimers timers;
    Counters counters;
    PeerTable peers;
    LeaseService leases;
    InstanceState state = InstanceState::Ready;
    bool paused = false;
    ValueVersion version;
    std::vector<std::pair<InstanceId, PeerMessage>> inbox;
    Incarnation incarnation;
    Subscription gossipTimer;
};

/// Instances on one clock with an unreliable network between them. All decisions follow from the seed.
class Fleet
{
public:
    using MakeNode = std::function<std::unique_ptr<Node>(Fleet &, const std::string &)>;

    explicit Fleet(std::uint64_t seed)
        : random(seed)
    {
        this->makeNode = [](Fleet &fleet, const std::string &name) {
            // Up to 0.5% clock rate error, far above that of real clocks and within the 10% that holders stop early.
            const double rate = 0.995 + 0.01 * fleet.random.uniformReal();
            return std::make_unique<Node>(fleet, name, std::chrono::seconds(fleet.random.uniformInteger(5000)), rate);
        };
    }

    void start(const std::string &name)
    {
        this->stop(name);
        this->nodes[name] = this->makeNode(*this, name);
        Node &node = *this->nodes[name];
        node.setList(this->list, this->listVersion);
        node.leases.setResources(this->resources);
        node.leases.setReady(true);
        node.peers.setSelf(InstanceState::Ready);
        node.gossipTimer = node.timers.every(Milliseconds(500), [&node] { node.gossip(); });
        node.leases.start();
        node.gossip();
    }

    void stop(const std::string &name)
    {
        this->nodes.erase(name);
    }

    /// Stops an instance as kill does; peers notice the broken links at once when @p linksReset.
    void kill(const std::string &name, bool linksReset)
    {
        this->stop(name);
        for (auto &[other, node] : this->nodes) {
            if (linksReset) {
                node->peers.linkLost(InstanceId(name));
            }
        }
    }

    void pause(const std::string &name)
    {
        this->nodes[name]->paused = true;
        this->nodes[name]->timers.pause();
    }

    void resume(const std::string &name)
    {
        Node &node = *this->nodes[name];
        node.paused = false;
        // Either the timers or the received messages come first after a pause.
        const bool timersFirst = this->random.uniformInteger(2) == 0;
        if (timersFirst) {
            node.timers.resume();
        }
        for (const auto &[from, message] : std::exchange(node.inbox, {})) {
            node.receive(from, message);
        }
        if (!timersFirst) {
            node.timers.resume();
        }
    }

    /// Starts a new run while the paused old one still exists; it wakes without a network.
    void replacePaused(const std::string &name)
    {
        this->zombies.push_back(std::move(this->nodes[name]));
        this->nodes.erase(name);
        this->start(name);
    }

    /// Makes a new list known to all instances but the stale ones.
    void publish(std::shared_ptr<const InstanceList> newList, const std::set<std::string> &stale = {})
    {
        this->list = std::move(newList);
        this->listVersion = ValueVersion(this->listVersion.value() + 1);
        for (auto &[name, node] : this->nodes) {
            if (stale.count(name) == 0) {
                node->setList(this->list, this->listVersion);
            }
        }
    }

    void refreshLists()
    {
        for (auto &[name, node] : this->nodes) {
            node->setList(this->list, this->listVersion);
        }
    }

    /// Only instances in the same set hear each other.
    void partition(const std::set<std::string> &side)
    {
        for (const auto &[from, node] : this->nodes) {
            for (const auto &[to, other] : this->nodes) {
                if ((side.count(from) != 0) != (side.count(to) != 0)) {
                    this->blocked.insert({ from, to });
                }
            }
        }
    }

    void carry(const InstanceId &from, const InstanceId &to, const PeerMessage &message)
    {
        if (this->blocked.count({ from.value(), to.value() }) != 0 || this->random.uniformReal() < this->lossShare) {
            return;
        }
        Duration delay = std::chrono::microseconds(500 + this->random.uniformInteger(5000));
        if (this->random.uniformReal() < this->lateShare) {
            delay = Milliseconds(this->random.uniformInteger(3000));
        }
        if (to == this->slowTo) {
            delay += Milliseconds(1000 + this->random.uniformInteger(300));
        }
        const std::uint64_t number = ++this->lastDelivery;
        this->deliveries[number] = this->base.after(delay, [this, number, from, to, message] {
            const auto kept = std::move(this->deliveries[number]);
            this->deliveries.erase(number);
            const auto target = this->nodes.find(to.value());
            if (target == this->nodes.end()) {
                return;
            }
            if (target->second->paused) {
                target->second->inbox.emplace_back(from, message);
            } else {
                target->second->receive(from, message);
            }
        });
    }

    std::vector<Node *> ownersOf(const ResourceId &resource) const
    {
        std::vector<Node *> owners;
        for (const auto &[name, node] : this->nodes) {
            if (node->leases.owns(resource)) {
                owners.push_back(node.get());
            }
        }
        for (const auto &node : this->zombies) {
            if (node->leases.owns(resource)) {
                owners.push_back(node.get());
            }
        }
        return owners;
    }

    ManualClock base;
    Random random;
    MakeNode makeNode;
    std::vector<ResourceId> resources;
    std::shared_ptr<const InstanceList> list = listOf({});
    ValueVersion listVersion;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> zombies;
    std::set<std::pair<std::string, std::string>> blocked;
    double lossShare = 0;
    double lateShare = 0;
    /// Messages to this instance take more than a second.
    InstanceId slowTo;
    std::uint64_t lastDelivery = 0;
    std::map<std::uint64_t, Subscription> deliveries;
};

inline Node::Node(Fleet &owner, std::string instance, Duration clockOffset, double clockRate)
    : fleet(owner)
    , id(std::move(instance))
    , clock(owner.base, clockOffset, clockRate)
    , timers(owner.base)
    , peers(this->clock, this->id)
    , leases({}, this->clock, this->timers, *this, this->peers, this->counters, this->id, [] { return false; })
    , incarnation(std::to_string(owner.random.bits()))
{
}

inline SendResult Node::send(const InstanceId &peer, const PeerMessage &message)
{
    const auto current = this->fleet.nodes.find(this->id.value());
    if (current != this->fleet.nodes.end() && current->second.get() == this) {
        this->fleet.carry(this->id, peer, message);
    }
    return SendResult::HandedOver;
}

inline void Node::receive(const InstanceId &from, const PeerMessage &message)
{
    this->peers.heard(from);
    if (const auto *request = std::get_if<LeaseRequest>(&message)) {
        this->leases.handle(from, *request);
    } else if (const auto *reply = std::get_if<LeaseReply>(&message)) {
        this->leases.handle(from, *reply);
    } else if (const auto *release = std::get_if<LeaseRelease>(&message)) {
        this->leases.handle(from, *release);
    } else if (const auto *said = std::get_if<Gossip>(&message)) {
        this->peers.gossip(from, *said);
    }
}

inline void Node::setList(const std::shared_ptr<const InstanceList> &list, ValueVersion listed)
{
    this->version = listed;
    this->peers.setList(list, listed);
    this->leases.setList(list, listed);
}

inline void Node::gossip()
{
    Gossip said;
    said.state = this->state;
    said.incarnation = this->incarnation;
    said.listVersion = this->version;
    said.held = this->leases.held();
    for (const InstanceId &peer : this->peers.peers()) {
        this->send(peer, said);
    }
}

}
