#pragma once

#include "fleet/gossipmessage.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Lycheewall
{

/// Up to this number of peers, each instance sends its messages to all others. In a larger fleet, most instances
/// receive them piggybacked on the messages of others.
constexpr std::size_t maxFullMeshPeers = 12;

/// Effect of a message on the member table.
enum class MemberUpdate {
    /// The message was not applied: it is outdated, or this instance itself sent it.
    Ignored,
    /// A newer message of a live instance whose process was already known.
    Refreshed,
    /// The instance was unknown or unreachable, or has been restarted.
    Joined
};

/// Another instance and its last message.
struct Member
{
    GossipMessage lastMessage;
    /// When lastMessage arrived, minus its age if it was piggybacked.
    TimePoint lastMessageAt;
    bool unreachable = false;
    /// Position in the list of the live members of its zone; used by the member table.
    std::size_t positionInZone = 0;
};

/**
 * The known members of the fleet. A member without a message within the timeout is unreachable. It may still run, so it
 * is removed only after a long retention time, or after a short one if it reported that it was shutting down.
 *
 * A message changes only the indices of its sender. Unless stated otherwise, the cost of a method is that of its result
 * and does not grow with the fleet.
 * Thread safety: none; used on the thread of the request loop.
 */
class MemberTable
{
public:
    /// @p ownZone is the zone of this instance, whose members are watched more closely than others.
    MemberTable(const Clock &clock, InstanceId self, ZoneId ownZone);

    /// Applies a message that was sent at most @p age ago, unless it is outdated. A message with age zero was received
    /// directly and is never outdated.
    MemberUpdate update(GossipMessage message, Duration age = Duration::zero());

    /// Marks members as unreachable after their timeout and removes those whose retention time is over. Returns the
    /// members that became unreachable in this call.
    std::vector<InstanceId> expireMembers();

    /// Returns nullptr if the instance is not known. The pointer is valid until the next expireMembers().
    const Member *find(const InstanceId &instance) const;

    /// Live members in the order of their ids, without this instance. The pointers are valid until the next
    /// expireMembers(). Visits all members.
    std::vector<const Member *> liveMembers() const;

    /// Live members of each zone that has any, in no particular order, without this instance. The pointers and the
    /// reference are valid until the next update() or expireMembers().
    const std::map<ZoneId, std::vector<const Member *>> &liveMembersByZone() const;

    /// Up to @p count live members with the most recent messages.
    std::vector<const Member *> mostRecentMembers(std::size_t count) const;

    /// Peer addresses of the live and of the unreachable members. The first visits all live members.
    std::vector<std::string> liveAddresses() const;
    std::vector<std::string> unreachableAddresses() const;

    /// True if a live member has this peer address.
    bool isLiveAddress(const std::string &peerAddress) const;

    /// Peer addresses of live members that are close to their timeout.
    std::vector<std::string> overdueAddresses() const;

    /// True if the fleet has too many live instances for each of them to send its messages to all others.
    bool isLargeFleet() const;

    /// Number of live instances, and of all instances that may still run (live and unreachable). Both count this
    /// instance.
    std::size_t liveCount() const;
    std::size_t knownCount() const;

    /// Changes whenever an instance joins, becomes unreachable or is removed, or when its state, zone, addresses or
    /// CPU capacity change.
    std::uint64_t topologyVersion() const;

    /// CPU usage that requests cause at the ready live members of the zone, in cores.
    double requestCores(const ZoneId &zone) const;

    /// Requests per second of all other instances that may still run, by their last messages; std::nullopt if one of
    /// them does not report its rate.
    std::optional<double> totalRequestRate() const;

private:
    /// Members in the order of their last messages, the oldest first.
    using MembersByAge = std::set<std::pair<TimePoint, const Member *>>;

    /// True if this instance must notice soon that the sender of @p message has failed.
    bool isWatchedClosely(const GossipMessage &message) const;
    Duration closeTimeout() const;
    Duration distantTimeout() const;
    bool isApplicable(const GossipMessage &message, Duration age) const;
    MembersByAge &indexByAge(const Member &member);
    void markUnreachable(MembersByAge &candidates, Duration timeout, std::vector<InstanceId> &newlyUnreachable);
    void appendOverdue(const MembersByAge &candidates, Duration timeout, std::vector<std::string> &addresses) const;
    /// Adds the member to the indices, or removes it from them, as its current state requires.
    void link(Member &member);
    void unlink(const Member &member);
    void linkToZone(Member &member);
    void unlinkFromZone(const Member &member);
    /// Removes members whose last message is older than @p retention from the table.
    void removeOlderThan(Duration retention, const MembersByAge &candidates);

    const Clock &clock;
    InstanceId self;
    ZoneId ownZone;
    std::map<InstanceId, Member> members;
    /// The live members that are watched closely, and the others.
    MembersByAge closeByAge;
    MembersByAge distantByAge;
    MembersByAge unreachableByAge;
    /// The live and unreachable members that reported that they were shutting down.
    MembersByAge shuttingDownByAge;
    std::map<ZoneId, std::vector<const Member *>> liveByZone;
    std::map<ZoneId, double> requestCoresByZone;
    /// Number of live members with the address: a new instance may use that of one that has just left.
    std::unordered_map<std::string, std::size_t> liveAddressCounts;
    std::uint64_t currentTopologyVersion = 0;
    double reportedRequestRate = 0;
    std::size_t membersWithoutRate = 0;
};

}
