#include "fleet/membertable.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Several messages may be lost before an instance counts as silent.
constexpr Duration silentAfterInSmallFleet = Milliseconds(1700);
constexpr Duration silentAfterInLargeFleet = Milliseconds(3500);
/// An instance is asked when nothing was heard of it for this share of the time after which it counts as silent. In a
/// large fleet most messages arrive through others in half of that time.
constexpr double quietShare = 0.67;
/// A silent instance may be cut off and still serve; its share is set aside for this long.
constexpr Duration forgottenAfter = std::chrono::seconds(20);
/// An instance that said that it leaves has ended by then.
constexpr Duration goneAfterLeaving = std::chrono::seconds(3);

}

MemberTable::MemberTable(const Clock &tableClock, InstanceId ownId)
    : clock(tableClock)
    , self(std::move(ownId))
{
}

Duration MemberTable::silentAfter() const
{
    return this->members.size() > maxFullMeshPeers ? silentAfterInLargeFleet : silentAfterInSmallFleet;
}

bool MemberTable::isNews(const GossipMessage &message, Duration age) const
{
    const auto known = this->members.find(message.instance);
    const TimePoint sentAt = this->clock.now() - age;
    if (message.instance == this->self || age > this->silentAfter()) {
        return false;
    }
    return known == this->members.end() || age == Duration::zero() || sentAt > known->second.lastMessageAt;
}

MemberNews MemberTable::update(const GossipMessage &message, Duration age)
{
    if (!this->isNews(message, age)) {
        return MemberNews::None;
    }
    const auto [entry, added] = this->members.try_emplace(message.instance);
    Member &member = entry->second;
    const bool appeared = added || member.unreachable || member.lastMessage.incarnation != message.incarnation;
    member.lastMessage = message;
    member.lastMessage.piggybacked.clear();
    member.lastMessage.knownAddresses.clear();
    member.lastMessageAt = this->clock.now() - age;
    member.unreachable = false;
    return appeared ? MemberNews::Appeared : MemberNews::Newer;
}

std::vector<InstanceId> MemberTable::expireMembers()
{
    const TimePoint now = this->clock.now();
    std::vector<InstanceId> fellSilent;
    for (auto entry = this->members.begin(); entry != this->members.end();) {
        Member &member = entry->second;
        const Duration quiet = now - member.lastMessageAt;
        const bool left = member.lastMessage.state == MemberState::ShuttingDown;
        if (quiet > (left ? goneAfterLeaving : forgottenAfter)) {
            entry = this->members.erase(entry);
            continue;
        }
        if (!member.unreachable && quiet > this->silentAfter()) {
            member.unreachable = true;
            fellSilent.push_back(entry->first);
        }
        ++entry;
    }
    return fellSilent;
}

std::vector<const Member *> MemberTable::liveMembers() const
{
    std::vector<const Member *> result;
    for (const auto &[id, member] : this->members) {
        if (!member.unreachable) {
            result.push_back(&member);
        }
    }
    return result;
}

std::vector<std::string> MemberTable::liveAddresses() const
{
    std::vector<std::string> addresses;
    for (const Member *member : this->liveMembers()) {
        addresses.push_back(member->lastMessage.peerAddress);
    }
    return addresses;
}

std::vector<std::string> MemberTable::unreachableAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[id, member] : this->members) {
        if (member.unreachable) {
            addresses.push_back(member.lastMessage.peerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> MemberTable::overdueAddresses() const
{
    const TimePoint now = this->clock.now();
    std::vector<std::string> addresses;
    for (const Member *member : this->liveMembers()) {
        if (fractionalSeconds(now - member->lastMessageAt) > quietShare * fractionalSeconds(this->silentAfter())) {
            addresses.push_back(member->lastMessage.peerAddress);
        }
    }
    return addresses;
}

bool MemberTable::isLargeFleet() const
{
    return this->liveCount() > maxFullMeshPeers + 1;
}

std::size_t MemberTable::liveCount() const
{
    const auto heard = std::count_if(
        this->members.begin(), this->members.end(), [](const auto &entry) { return !entry.second.unreachable; });
    return static_cast<std::size_t>(heard) + 1;
}

std::size_t MemberTable::knownCount() const
{
    return this->members.size() + 1;
}

}
