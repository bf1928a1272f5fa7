#pragma once

#include "feed/feedreader.h"
#include "fleet/membertable.h"

#include <functional>

namespace Lycheewall
{

/**
 * Decides which instances read the store, whose calls are priced, and from whom the others hear. One instance reads at
 * a time: the first in the order of ids that is ready and fresh. An instance that sees none reads itself. In a large
 * fleet, one instance of each availability zone follows the reader and the others of the zone follow that one, as bytes
 * between zones are dear.
 * Thread safety: none; used on the thread of the request loop.
 */
class FleetFeedSourcePolicy : public FeedSourcePolicy
{
public:
    /// Makes the source for a peer address.
    using SourceFactory = std::function<std::shared_ptr<FeedSource>(const std::string &peerAddress)>;

    FleetFeedSourcePolicy(const MemberTable &members, InstanceId self, ZoneId zone, SourceFactory factory);

    bool shouldReadStore() const override;
    std::vector<FeedPeer> candidatePeers() override;

private:
    /// The instance that the others of this zone follow; nullptr when it is this one, or when the fleet is small.
    const Member *zoneSource() const;

    const MemberTable &members;
    InstanceId self;
    ZoneId zone;
    SourceFactory factory;
    std::map<std::string, std::shared_ptr<FeedSource>> sources;
};

}
