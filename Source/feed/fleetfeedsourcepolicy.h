#pragma once

#include "feed/feedreader.h"
#include "fleet/membertable.h"

#include <functional>

namespace Lycheewall
{

/**
 * Decides which instances read the store and from which peers the others read. Only one instance reads the store at a
 * time, because calls to the store are billed: the one with the lowest id among the ready instances with fresh data. An
 * instance that sees no such reader reads the store itself. In a large fleet, one instance of each availability zone
 * reads from the store's reader and the others in the zone read from that instance, because traffic between zones is
 * expensive. If that fails, they read from the instance that would replace it.
 * Thread safety: none; used on the thread of the request loop.
 */
class FleetFeedSourcePolicy : public FeedSourcePolicy
{
public:
    /// Creates the feed source for a peer address.
    using SourceFactory = std::function<std::shared_ptr<FeedSource>(const std::string &peerAddress)>;

    FleetFeedSourcePolicy(const MemberTable &members, InstanceId self, ZoneId zone, SourceFactory factory);

    bool shouldReadStore() const override;
    std::vector<FeedPeer> candidatePeers() override;

private:
    /// The instances of this zone that this one reads from: the zone's leader, which has the lowest id, and a deputy
    /// with the next one. Empty if this instance has the lowest id.
    std::vector<const Member *> zonePeers() const;

    /// Instances with fresh feed data, best first.
    std::vector<const Member *> largeFleetCandidates() const;
    std::vector<const Member *> smallFleetCandidates() const;

    const MemberTable &members;
    InstanceId self;
    ZoneId zone;
    SourceFactory factory;
    std::map<std::string, std::shared_ptr<FeedSource>> sources;
};

}
