#include "feed/fleetfeedsourcepolicy.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Number of instances that read the store at a time. Another one takes over if the reader fails or is unreachable.
constexpr std::size_t maxStoreReaders = 1;
/// Instances whose feed data is older are not used as sources.
constexpr std::int64_t maxPeerFeedAgeMs = 2200;

bool isReadyAndFresh(const Member &member)
{
    return member.lastMessage.feedAgeMs >= 0 && member.lastMessage.feedAgeMs <= maxPeerFeedAgeMs
        && member.lastMessage.state == MemberState::Ready;
}

bool isPreferredPeer(const Member *left, const Member *right)
{
    if (left->lastMessage.readsStore != right->lastMessage.readsStore) {
        return left->lastMessage.readsStore;
    }
    return left->lastMessage.feedAgeMs < right->lastMessage.feedAgeMs;
}

}

FleetFeedSourcePolicy::FleetFeedSourcePolicy(const MemberTable &memberTable,
                                             InstanceId ownId,
                                             ZoneId ownZone,
                                             SourceFactory sourceFactory)
    : members(memberTable)
    , self(std::move(ownId))
    , zone(std::move(ownZone))
    , factory(std::move(sourceFactory))
{
}

bool FleetFeedSourcePolicy::shouldReadStore() const
{
    std::size_t readersAhead = 0;
    for (const Member *member : this->members.liveMembers()) {
        if (isReadyAndFresh(*member) && member->lastMessage.readsStore && member->lastMessage.instance < this->self) {
            ++readersAhead;
        }
    }
    return readersAhead < maxStoreReaders;
}

const Member *FleetFeedSourcePolicy::zoneLeader() const
{
    if (!this->members.isLargeFleet()) {
        return nullptr;
    }
    const Member *leader = nullptr;
    for (const Member *member : this->members.liveMembers()) {
        if (member->lastMessage.zone != this->zone || !isReadyAndFresh(*member)) {
            continue;
        }
        if (member->lastMessage.readsStore) {
            return member;
        }
        if (leader == nullptr && member->lastMessage.instance < this->self) {
            leader = member;
        }
    }
    return leader;
}

std::vector<FeedPeer> FleetFeedSourcePolicy::candidatePeers()
{
    std::vector<const Member *> candidates;
    for (const Member *member : this->members.liveMembers()) {
        if (isReadyAndFresh(*member)) {
            candidates.push_back(member);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), &isPreferredPeer);
    const auto zoneLeaderEntry = std::find(candidates.begin(), candidates.end(), this->zoneLeader());
    if (zoneLeaderEntry != candidates.end()) {
        std::rotate(candidates.begin(), zoneLeaderEntry, zoneLeaderEntry + 1);
    }
    std::vector<FeedPeer> result;
    for (const Member *member : candidates) {
        std::shared_ptr<FeedSource> &source = this->sources[member->lastMessage.peerAddress];
        if (!source) {
            source = this->factory(member->lastMessage.peerAddress);
        }
        result.push_back({ member->lastMessage.instance, source });
    }
    return result;
}

}
