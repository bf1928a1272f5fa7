#include "fleet/membertable.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Allow for the loss of several messages before an instance counts as unreachable.
constexpr Duration unreachableTimeoutInSmallFleet = Milliseconds(1700);
constexpr Duration unreachableTimeoutInLargeFleet = Milliseconds(3500);
/// In a large fleet, for idle instances of other zones: nothing is sent to them, and their messages arrive less often.
constexpr Duration unreachableTimeoutInOtherZones = Milliseconds(7000);
/// A member is overdue, and gets a ping, after this fraction of its timeout. In a large fleet, most messages arrive
/// piggybacked within half of the timeout.
constexpr double overdueFraction = 0.67;
/// An unreachable instance may only be partitioned and still serve. Its share of the fleet-wide limits stays reserved
/// for this long.
constexpr Duration unreachableRetention = std::chrono::seconds(20);
/// An instance that reported that it was shutting down has exited after this time.
constexpr Duration shutdownRetention = std::chrono::seconds(3);

/// True if a change from one message to the other can affect which instances are used, and how they are reached.
bool differsInTopology(const GossipMessage &left, const GossipMessage &right)
{
    return left.state != right.state || left.zone != right.zone || left.callerAddress != right.callerAddress
        || left.peerAddress != right.peerAddress || left.cpuUsage.availableCores != right.cpuUsage.availableCores;
}

}

MemberTable::MemberTable(const Clock &tableClock, InstanceId ownId, ZoneId zone)
    : clock(tableClock)
    , self(std::move(ownId))
    , ownZone(std::move(zone))
{
}

bool MemberTable::isWatchedClosely(const GossipMessage &message) const
{
    const bool servesRequests = message.requestsPerSecond.value_or(0) > 0 || !message.usage.empty();
    // The feed of the whole fleet depends on the instance that reads the store.
    return message.zone == this->ownZone || servesRequests || message.readsStore;
}

Duration MemberTable::closeTimeout() const
{
    return this->members.size() > maxFullMeshPeers ? unreachableTimeoutInLargeFleet : unreachableTimeoutInSmallFleet;
}

Duration MemberTable::distantTimeout() const
{
    return this->members.size() > maxFullMeshPeers ? unreachableTimeoutInOtherZones : unreachableTimeoutInSmallFleet;
}

bool MemberTable::isApplicable(const GossipMessage &message, Duration age) const
{
    const auto known = this->members.find(message.instance);
    const TimePoint sentAt = this->clock.now() - age;
    const Duration timeout = this->isWatchedClosely(message) ? this->closeTimeout() : this->distantTimeout();
    if (message.instance == this->self || age > timeout) {
        return false;
    }
    return known == this->members.end() || age == Duration::zero() || sentAt > known->second.lastMessageAt;
}

MemberUpdate MemberTable::update(GossipMessage message, Duration age)
{
    if (!this->isApplicable(message, age)) {
        return MemberUpdate::Ignored;
    }
    const auto [entry, added] = this->members.try_emplace(message.instance);
    Member &member = entry->second;
    if (!added) {
        this->unlink(member);
    }
    const bool newlyJoined = added || member.unreachable || member.lastMessage.incarnation != message.incarnation;
    if (newlyJoined || differsInTopology(member.lastMessage, message)) {
        ++this->currentTopologyVersion;
    }
    member.lastMessage = std::move(message);
    member.lastMessage.piggybacked.clear();
    member.lastMessage.knownAddresses.clear();
    member.lastMessageAt = this->clock.now() - age;
    member.unreachable = false;
    this->link(member);
    return newlyJoined ? MemberUpdate::Joined : MemberUpdate::Refreshed;
}

MemberTable::MembersByAge &MemberTable::indexByAge(const Member &member)
{
    if (member.unreachable) {
        return this->unreachableByAge;
    }
    return this->isWatchedClosely(member.lastMessage) ? this->closeByAge : this->distantByAge;
}

void MemberTable::link(Member &member)
{
    const GossipMessage &message = member.lastMessage;
    this->indexByAge(member).emplace(member.lastMessageAt, &member);
    if (message.state == MemberState::ShuttingDown) {
        this->shuttingDownByAge.emplace(member.lastMessageAt, &member);
    }
    if (message.requestsPerSecond) {
        this->reportedRequestRate += *message.requestsPerSecond;
    } else {
        ++this->membersWithoutRate;
    }
    if (!member.unreachable) {
        this->linkToZone(member);
    }
}

void MemberTable::unlink(const Member &member)
{
    const GossipMessage &message = member.lastMessage;
    this->indexByAge(member).erase({ member.lastMessageAt, &member });
    if (message.state == MemberState::ShuttingDown) {
        this->shuttingDownByAge.erase({ member.lastMessageAt, &member });
    }
    if (message.requestsPerSecond) {
        this->reportedRequestRate -= *message.requestsPerSecond;
    } else {
        --this->membersWithoutRate;
    }
    if (!member.unreachable) {
        this->unlinkFromZone(member);
    }
}

void MemberTable::linkToZone(Member &member)
{
    const GossipMessage &message = member.lastMessage;
    std::vector<const Member *> &zoneMembers = this->liveByZone[message.zone];
    member.positionInZone = zoneMembers.size();
    zoneMembers.push_back(&member);
    ++this->liveAddressCounts[message.peerAddress];
    if (message.state == MemberState::Ready) {
        this->requestCoresByZone[message.zone] += message.cpuUsage.requestCores;
    }
}

void MemberTable::unlinkFromZone(const Member &member)
{
    const GossipMessage &message = member.lastMessage;
    const auto zone = this->liveByZone.find(message.zone);
    std::vector<const Member *> &zoneMembers = zone->second;
    Member &last = this->members.at(zoneMembers.back()->lastMessage.instance);
    last.positionInZone = member.positionInZone;
    zoneMembers[member.positionInZone] = &last;
    zoneMembers.pop_back();
    const auto address = this->liveAddressCounts.find(message.peerAddress);
    if (--address->second == 0) {
        this->liveAddressCounts.erase(address);
    }
    if (message.state == MemberState::Ready) {
        this->requestCoresByZone[message.zone] -= message.cpuUsage.requestCores;
    }
    if (zoneMembers.empty()) {
        this->liveByZone.erase(zone);
        this->requestCoresByZone.erase(message.zone);
    }
}

std::vector<InstanceId> MemberTable::expireMembers()
{
    std::vector<InstanceId> newlyUnreachable;
    this->markUnreachable(this->closeByAge, this->closeTimeout(), newlyUnreachable);
    this->markUnreachable(this->distantByAge, this->distantTimeout(), newlyUnreachable);
    this->removeOlderThan(shutdownRetention, this->shuttingDownByAge);
    this->removeOlderThan(unreachableRetention, this->unreachableByAge);
    return newlyUnreachable;
}

void MemberTable::markUnreachable(MembersByAge &candidates, Duration timeout, std::vector<InstanceId> &newlyUnreachable)
{
    const TimePoint now = this->clock.now();
    while (!candidates.empty() && now - candidates.begin()->first > timeout) {
        Member &member = this->members.at(candidates.begin()->second->lastMessage.instance);
        this->unlink(member);
        member.unreachable = true;
        this->link(member);
        ++this->currentTopologyVersion;
        newlyUnreachable.push_back(member.lastMessage.instance);
    }
}

void MemberTable::removeOlderThan(Duration retention, const MembersByAge &candidates)
{
    const TimePoint now = this->clock.now();
    while (!candidates.empty() && now - candidates.begin()->first > retention) {
        const Member &member = *candidates.begin()->second;
        this->unlink(member);
        // The id is copied, as the erased member holds the original.
        this->members.erase(InstanceId(member.lastMessage.instance));
        ++this->currentTopologyVersion;
    }
}

const Member *MemberTable::find(const InstanceId &instance) const
{
    const auto entry = this->members.find(instance);
    return entry == this->members.end() ? nullptr : &entry->second;
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

const std::map<ZoneId, std::vector<const Member *>> &MemberTable::liveMembersByZone() const
{
    return this->liveByZone;
}

std::vector<const Member *> MemberTable::mostRecentMembers(std::size_t count) const
{
    std::vector<const Member *> result;
    auto close = this->closeByAge.rbegin();
    auto distant = this->distantByAge.rbegin();
    while (result.size() < count && (close != this->closeByAge.rend() || distant != this->distantByAge.rend())) {
        const bool isCloseNext = distant == this->distantByAge.rend()
            || (close != this->closeByAge.rend() && close->first >= distant->first);
        result.push_back(isCloseNext ? (close++)->second : (distant++)->second);
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
    for (const auto &[lastMessageAt, member] : this->unreachableByAge) {
        addresses.push_back(member->lastMessage.peerAddress);
    }
    return addresses;
}

bool MemberTable::isLiveAddress(const std::string &peerAddress) const
{
    return this->liveAddressCounts.count(peerAddress) > 0;
}

std::vector<std::string> MemberTable::overdueAddresses() const
{
    std::vector<std::string> addresses;
    this->appendOverdue(this->closeByAge, this->closeTimeout(), addresses);
    this->appendOverdue(this->distantByAge, this->distantTimeout(), addresses);
    return addresses;
}

void MemberTable::appendOverdue(const MembersByAge &candidates,
                                Duration timeout,
                                std::vector<std::string> &addresses) const
{
    const TimePoint now = this->clock.now();
    const Duration overdueAge = fromSeconds(overdueFraction * fractionalSeconds(timeout));
    for (const auto &[lastMessageAt, member] : candidates) {
        if (now - lastMessageAt <= overdueAge) {
            return;
        }
        addresses.push_back(member->lastMessage.peerAddress);
    }
}

bool MemberTable::isLargeFleet() const
{
    return this->liveCount() > maxFullMeshPeers + 1;
}

std::size_t MemberTable::liveCount() const
{
    return this->closeByAge.size() + this->distantByAge.size() + 1;
}

std::size_t MemberTable::knownCount() const
{
    return this->members.size() + 1;
}

std::uint64_t MemberTable::topologyVersion() const
{
    return this->currentTopologyVersion;
}

double MemberTable::requestCores(const ZoneId &zone) const
{
    const auto entry = this->requestCoresByZone.find(zone);
    return entry == this->requestCoresByZone.end() ? 0 : entry->second;
}

std::optional<double> MemberTable::totalRequestRate() const
{
    return this->membersWithoutRate > 0 ? std::nullopt : std::optional(this->reportedRequestRate);
}

}
