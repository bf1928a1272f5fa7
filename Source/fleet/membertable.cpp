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
    return this->members.size() > smallFleet ? silentAfterInLargeFleet : silentAfterInSmallFleet;
}

bool MemberTable::isNews(const FleetMessage &message, Duration age) const
{
    const auto known = this->members.find(message.instance);
    const TimePoint sentAt = this->clock.now() - age;
    if (message.instance == this->self || age > this->silentAfter()) {
        return false;
    }
    return known == this->members.end() || age == Duration::zero() || sentAt > known->second.heardAt;
}

MemberNews MemberTable::heard(const FleetMessage &message, Duration age)
{
    if (!this->isNews(message, age)) {
        return MemberNews::None;
    }
    const auto [entry, added] = this->members.try_emplace(message.instance);
    Member &member = entry->second;
    const bool appeared = added || member.silent || member.latest.incarnation != message.incarnation;
    member.latest = message;
    member.latest.relayed.clear();
    member.latest.known.clear();
    member.heardAt = this->clock.now() - age;
    member.silent = false;
    return appeared ? MemberNews::Appeared : MemberNews::Newer;
}

std::vector<InstanceId> MemberTable::sweep()
{
    const TimePoint now = this->clock.now();
    std::vector<InstanceId> fellSilent;
    for (auto entry = this->members.begin(); entry != this->members.end();) {
        Member &member = entry->second;
        const Duration quiet = now - member.heardAt;
        const bool left = member.latest.state == MemberState::Leaving;
        if (quiet > (left ? goneAfterLeaving : forgottenAfter)) {
            entry = this->members.erase(entry);
            continue;
        }
        if (!member.silent && quiet > this->silentAfter()) {
            member.silent = true;
            fellSilent.push_back(entry->first);
        }
        ++entry;
    }
    return fellSilent;
}

std::vector<const Member *> MemberTable::alive() const
{
    std::vector<const Member *> result;
    for (const auto &[id, member] : this->members) {
        if (!member.silent) {
            result.push_back(&member);
        }
    }
    return result;
}

std::vector<std::string> MemberTable::aliveAddresses() const
{
    std::vector<std::string> addresses;
    for (const Member *member : this->alive()) {
        addresses.push_back(member->latest.peerAddress);
    }
    return addresses;
}

std::vector<std::string> MemberTable::silentAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[id, member] : this->members) {
        if (member.silent) {
            addresses.push_back(member.latest.peerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> MemberTable::quietAddresses() const
{
    const TimePoint now = this->clock.now();
    std::vector<std::string> addresses;
    for (const Member *member : this->alive()) {
        if (fractionalSeconds(now - member->heardAt) > quietShare * fractionalSeconds(this->silentAfter())) {
            addresses.push_back(member->latest.peerAddress);
        }
    }
    return addresses;
}

bool MemberTable::isLargeFleet() const
{
    return this->heardCount() > smallFleet + 1;
}

std::size_t MemberTable::heardCount() const
{
    const auto heard = std::count_if(
        this->members.begin(), this->members.end(), [](const auto &entry) { return !entry.second.silent; });
    return static_cast<std::size_t>(heard) + 1;
}

std::size_t MemberTable::possibleCount() const
{
    return this->members.size() + 1;
}

}
