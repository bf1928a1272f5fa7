#include "feed/fleetfeedsourcepolicy.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Instances that read the store at a time; another one takes over when it falls silent or fails.
constexpr std::size_t readers = 1;
/// An instance with older knowledge is no source for others.
constexpr std::int64_t freshEnoughMs = 2200;

bool isFresh(const Member &member)
{
    return member.lastMessage.feedAgeMs >= 0 && member.lastMessage.feedAgeMs <= freshEnoughMs
        && member.lastMessage.state == MemberState::Ready;
}

bool fresherReader(const Member *left, const Member *right)
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
    std::size_t before = 0;
    for (const Member *member : this->members.liveMembers()) {
        if (isFresh(*member) && member->lastMessage.readsStore && member->lastMessage.instance < this->self) {
            ++before;
        }
    }
    return before < readers;
}

const Member *FleetFeedSourcePolicy::zoneSource() const
{
    if (!this->members.isLargeFleet()) {
        return nullptr;
    }
    const Member *first = nullptr;
    for (const Member *member : this->members.liveMembers()) {
        if (member->lastMessage.zone != this->zone || !isFresh(*member)) {
            continue;
        }
        if (member->lastMessage.readsStore) {
            return member;
        }
        if (first == nullptr && member->lastMessage.instance < this->self) {
            first = member;
        }
    }
    return first;
}

std::vector<FeedPeer> FleetFeedSourcePolicy::candidatePeers()
{
    std::vector<const Member *> fresh;
    for (const Member *member : this->members.liveMembers()) {
        if (isFresh(*member)) {
            fresh.push_back(member);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(), &fresherReader);
    const auto ofZone = std::find(fresh.begin(), fresh.end(), this->zoneSource());
    if (ofZone != fresh.end()) {
        std::rotate(fresh.begin(), ofZone, ofZone + 1);
    }
    std::vector<FeedPeer> result;
    for (const Member *member : fresh) {
        std::shared_ptr<FeedSource> &source = this->sources[member->lastMessage.peerAddress];
        if (!source) {
            source = this->factory(member->lastMessage.peerAddress);
        }
        result.push_back({ member->lastMessage.instance, source });
    }
    return result;
}

}
