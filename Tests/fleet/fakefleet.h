#pragma once

#include "core/manualclock.h"
#include "fleet/gossip.h"

#include <memory>

namespace Lycheewall
{

/// Says what the test sets, and keeps what other instances have said.
class FakeRestorationExchange : public RestorationExchange
{
public:
    std::optional<RestorationNotice> noticedRestoration() const override
    {
        return this->noticed;
    }
    void instanceHeard(Duration feedAge) override
    {
        this->heardFeedAges.push_back(feedAge);
    }
    void restorationHeard(const RestorationNotice &notice) override
    {
        this->heardEra = notice.era;
        this->heardRemaining.push_back(notice.rewriteRemaining);
    }

    std::optional<RestorationNotice> noticed;
    StoreEra heardEra;
    std::vector<Duration> heardFeedAges;
    std::vector<Duration> heardRemaining;
};

/// Instances that exchange datagrams on a manual clock. A datagram arrives unless its sender or receiver is
/// partitioned.
class FakeFleet
{
public:
    explicit FakeFleet(std::size_t size, std::size_t seeds, std::size_t zones = 1)
        : zoneCount(zones)
    {
        for (std::size_t number = 0; number < size; ++number) {
            this->add(number, seeds);
        }
        for (const auto &[name, node] : this->nodes) {
            node->gossip->start();
        }
    }

    struct Node : public DatagramSender
    {
        explicit Node(FakeFleet &owner, const std::string &nodeName)
            : fleet(owner)
            , name(nodeName)
            , random(std::stoul(nodeName))
            , members(owner.clock, InstanceId(nodeName), ZoneId(owner.zoneOf(nodeName)))
            , quota(owner.clock)
            , freshness(owner.clock)
            , activeInstances(this->members, this->own)
        {
            this->own.instance = InstanceId(this->name);
            this->own.zone = ZoneId(owner.zoneOf(this->name));
        }
        void send(const std::string &address, const std::string &bytes) override
        {
            this->sentBytes += bytes.size();
            if (this->fleet.zoneOf(address.substr(5)) != this->fleet.zoneOf(this->name)) {
                this->crossZoneBytes += bytes.size();
            }
            this->fleet.deliver(this->name, address.substr(5), bytes);
        }

        FakeFleet &fleet;
        std::string name;
        /// Differs between the nodes, which would otherwise all select the same peers.
        Random random;
        Counters counters;
        MemberTable members;
        OrganisationQuota quota;
        FeedFreshness freshness;
        FakeRestorationExchange restoration;
        EndpointSet endpoints;
        InstanceInfo own;
        ActiveInstanceSet activeInstances;
        /// Rate that the node reports.
        double requestsPerSecond = 0;
        std::unique_ptr<Gossip> gossip;
        std::size_t sentBytes = 0;
        std::size_t crossZoneBytes = 0;
    };

    Node &node(std::size_t number)
    {
        return *this->nodes.at(std::to_string(number));
    }
    void advance(Duration step)
    {
        this->clock.advance(step);
    }
    void partition(std::size_t number)
    {
        this->partitioned.insert(std::to_string(number));
    }
    void healPartition()
    {
        this->partitioned.clear();
    }
    std::string zoneOf(const std::string &name) const
    {
        return "z" + std::to_string(std::stoul(name) % this->zoneCount);
    }
    std::vector<Node *> allNodes()
    {
        std::vector<Node *> result;
        for (const auto &[name, node] : this->nodes) {
            result.push_back(node.get());
        }
        return result;
    }

    ManualClock clock;

private:
    void add(std::size_t number, std::size_t seeds)
    {
        const std::string name = std::to_string(number);
        auto node = std::make_unique<Node>(*this, name);
        GossipSettings settings;
        settings.instance = InstanceId(name);
        settings.zone = ZoneId(this->zoneOf(name));
        settings.callerAddress = "caller-" + name;
        settings.peerAddress = "peer-" + name;
        for (std::size_t seed = 0; seed < seeds; ++seed) {
            settings.seeds.push_back("peer-" + std::to_string(seed));
        }
        node->gossip = std::make_unique<Gossip>(settings,
                                                Gossip::Context { this->clock,
                                                                  this->clock,
                                                                  node->random,
                                                                  node->counters,
                                                                  *node,
                                                                  node->members,
                                                                  node->quota,
                                                                  node->freshness,
                                                                  node->restoration,
                                                                  node->endpoints,
                                                                  node->activeInstances,
                                                                  [] {},
                                                                  [] { return CpuUsage(); },
                                                                  [&node = *node] { return node.requestsPerSecond; },
                                                                  [] {
                                                                      return false;
                                                                  } });
        this->nodes[name] = std::move(node);
    }

    void deliver(const std::string &from, const std::string &to, const std::string &bytes)
    {
        if (this->partitioned.count(from) > 0 || this->partitioned.count(to) > 0 || this->nodes.count(to) == 0) {
            return;
        }
        this->timers.push_back(
            this->clock.after(Milliseconds(1), [this, to, bytes] { this->nodes[to]->gossip->handleDatagram(bytes); }));
    }

    std::size_t zoneCount;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::set<std::string> partitioned;
    std::vector<Subscription> timers;
};

}
