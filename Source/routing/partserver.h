#pragma once

#include "core/counters.h"
#include "peer/codec/peertransport.h"
#include "routing/localgroups.h"
#include "routing/ownerdirectory.h"

#include <map>
#include <mutex>

namespace Lycheewall
{

/**
 * Owner side of requests from peers: gives each part to the scheduler of its group and sends the answer back.
 * Thread safety: any thread. Must outlive the tasks that it gave out.
 */
class PartServer
{
public:
    /// All references must outlive the server.
    PartServer(InstanceId selfId,
               LocalGroups &localGroups,
               PeerTransport &peerTransport,
               const OwnerDirectory &ownerDirectory,
               Counters &counterRegistry);

    void handle(const InstanceId &from, const SubRequest &request);
    void handle(const InstanceId &from, const SubCancel &cancel);

    /// Gives up the repeatable work of a peer whose link broke; it sends this work again elsewhere.
    void peerLost(const InstanceId &peer);

    /// Parts that have not been answered.
    std::size_t pending() const;

private:
    struct Key
    {
        InstanceId from;
        std::uint64_t id;
        GroupId group;
        bool operator<(const Key &other) const;
    };
    struct Served
    {
        PoolId pool;
        TaskId task;
        bool idempotent = true;
        bool cancelled = false;
    };

    void start(const InstanceId &from, const SubRequest &request, const GroupId &group);
    void answer(const Key &key, const GroupOutcome &outcome);
    void refuse(const Key &key, const PoolId &pool);
    void giveUp(const std::vector<std::pair<Key, Served>> &entries);

    const InstanceId self;
    LocalGroups &local;
    PeerTransport &transport;
    const OwnerDirectory &directory;
    Counters &counters;
    mutable std::mutex mutex;
    std::map<Key, Served> served;
};

}
