#include "fleet/membertable.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Allow for the loss of several messages before an instance counts as unreachable.
constexpr Duration unreachableTimeoutInSmallFleet = Milliseconds(1700);
constexpr Duration unreachableTimeoutInLargeFleet = Milliseconds(3500);
/// A member is overdue, and gets a ping, after this fraction of its timeout. In a large fleet, most messages arrive
/// piggybacked within half of the timeout.
constexpr double overdueFraction = 0.67;
/// An unreachable instance may only be partitioned and still serve. Its share of the fleet-wide limits stays reserved
/// for this long.
constexpr Duration unreachableRetention = std::chrono::seconds(20);
/// An instance that reported that it was shutting down has exited after this time.
constexpr Duration shutdownRetention = std::chrono::seconds(3);

}

MemberTable::MemberTable(const Clock &tableClock, InstanceId ownId)
    : clock(tableClock)
    , self(std::move(ownId))
{
}

Duration MemberTable::unreachableTimeout() const
{
    return this->members.size() > maxFullMeshPeers ? unreachableTimeoutInLargeFleet : unreachableTimeoutInSmallFleet;
}

bool MemberTable::isApplicable(const GossipMessage &message, Duration age) const
{
    const auto known = this->members.find(message.instance);
    const TimePoint sentAt = this->clock.now() - age;
    if (message.instance == this->self || age > this->unreachableTimeout()) {
        return false;
    }
    return known == this->members.end() || age == Duration::zero() || sentAt > known->second.lastMessageAt;
}

MemberUpdate MemberTable::update(const GossipMessage &message, Duration age)
{
    if (!this->isApplicable(message, age)) {
        return MemberUpdate::Ignored;
    }
    const auto [entry, added] = this->members.try_emplace(message.instance);
    Member &member = entry->second;
    const bool newlyJoined = added || member.unreachable || member.lastMessage.incarnation != message.incarnation;
    member.lastMessage = message;
    member.lastMessage.piggybacked.clear();
    member.lastMessage.knownAddresses.clear();
    member.lastMessageAt = this->clock.now() - age;
    member.unreachable = false;
    return newlyJoined ? MemberUpdate::Joined : MemberUpdate::Refreshed;
}

std::vector<InstanceId> MemberTable::expireMembers()
{
    const TimePoint now = this->clock.now();
    std::vector<InstanceId> newlyUnreachable;
    for (auto entry = this->members.begin(); entry != this->members.end();) {
        Member &member = entry->second;
        const Duration sinceLastMessage = now - member.lastMessageAt;
        const bool isShuttingDown = member.lastMessage.state == MemberState::ShuttingDown;
        if (sinceLastMessage > (isShuttingDown ? shutdownRetention : unreachableRetention)) {
            entry = this->members.erase(entry);
            continue;
        }
        if (!member.unreachable && sinceLastMessage > this->unreachableTimeout()) {
            member.unreachable = true;
            newlyUnreachable.push_back(entry->first);
        }
        ++entry;
    }
    return newlyUnreachable;
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
        if (fractionalSeconds(now - member->lastMessageAt)
            > overdueFraction * fractionalSeconds(this->unreachableTimeout())) {
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
    const auto liveOthers = std::count_if(
        this->members.begin(), this->members.end(), [](const auto &entry) { return !entry.second.unreachable; });
    return static_cast<std::size_t>(liveOthers) + 1;
}

std::size_t MemberTable::knownCount() const
{
    return this->members.size() + 1;
}

std::optional<double> MemberTable::totalRequestRate() const
{
    double total = 0;
    for (const auto &[id, member] : this->members) {
        if (!member.lastMessage.requestsPerSecond) {
            return std::nullopt;
        }
        total += *member.lastMessage.requestsPerSecond;
    }
    return total;
}

}
