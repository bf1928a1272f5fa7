#include "feed/fleetfeedsourcepolicy.h"

#include <algorithm>
#include <tuple>

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

/// In a large fleet: instances of the own zone that are asked before the store's reader, the leader and its deputy.
constexpr std::size_t maxZonePeers = 2;
/// In a large fleet: maximum number of instances to choose from.
constexpr std::size_t maxCandidates = 8;

/// Keeps the @p count best members in their order: the store's reader first, then those with the lowest keys. @p keyOf
/// is called once for each member.
template<typename KeyOf> void keepBest(std::vector<const Member *> &members, std::size_t count, const KeyOf &keyOf)
{
    using Key = decltype(keyOf(*members.front()));
    std::vector<std::tuple<bool, Key, const Member *>> ranked;
    ranked.reserve(members.size());
    for (const Member *member : members) {
        ranked.emplace_back(!member->lastMessage.readsStore, keyOf(*member), member);
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    members.clear();
    for (std::size_t index = 0; index < kept; ++index) {
        members.push_back(std::get<const Member *>(ranked[index]));
    }
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

std::vector<const Member *> FleetFeedSourcePolicy::zonePeers() const
{
    std::vector<const Member *> peers;
    const auto entry = this->members.liveMembersByZone().find(this->zone);
    if (entry == this->members.liveMembersByZone().end()) {
        return peers;
    }
    for (const Member *member : entry->second) {
        if (isReadyAndFresh(*member) && (member->lastMessage.readsStore || member->lastMessage.instance < this->self)) {
            peers.push_back(member);
        }
    }
    keepBest(peers, maxZonePeers, [](const Member &member) { return member.lastMessage.instance; });
    return peers;
}

std::vector<const Member *> FleetFeedSourcePolicy::largeFleetCandidates() const
{
    std::vector<const Member *> result = this->zonePeers();
    std::vector<const Member *> others;
    for (const Member *member : this->members.liveMembers()) {
        if (isReadyAndFresh(*member) && std::find(result.begin(), result.end(), member) == result.end()) {
            others.push_back(member);
        }
    }
    // After the store's reader, each instance has an order of its own, so that not all turn to the same one.
    keepBest(others, maxCandidates - result.size(), [this](const Member &member) {
        return std::hash<std::string>()(this->self.value() + ' ' + member.lastMessage.instance.value());
    });
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

std::vector<const Member *> FleetFeedSourcePolicy::smallFleetCandidates() const
{
    std::vector<const Member *> result;
    for (const Member *member : this->members.liveMembers()) {
        if (isReadyAndFresh(*member)) {
            result.push_back(member);
        }
    }
    keepBest(result, result.size(), [](const Member &member) {
        return std::pair(member.lastMessage.feedAgeMs, member.lastMessage.instance);
    });
    return result;
}

std::vector<FeedPeer> FleetFeedSourcePolicy::candidatePeers()
{
    const std::vector<const Member *> candidates
        = this->members.isLargeFleet() ? this->largeFleetCandidates() : this->smallFleetCandidates();
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
