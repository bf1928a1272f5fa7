#pragma once

#include "fleet/gossipmessage.h"

#include <map>
#include <optional>
#include <set>

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
};

/**
 * The known members of the fleet. A member without a message within the timeout is unreachable. It may still run, so it
 * is removed only after a long retention time, or after a short one if it reported that it was shutting down.
 * Thread safety: none; used on the thread of the request loop.
 */
class MemberTable
{
public:
    MemberTable(const Clock &clock, InstanceId self);

    /// Applies a message that was sent at most @p age ago, unless it is outdated. A message with age zero was received
    /// directly and is never outdated.
    MemberUpdate update(const GossipMessage &message, Duration age = Duration::zero());

    /// Marks members as unreachable after their timeout and removes those whose retention time is over. Returns the
    /// members that became unreachable in this call.
    std::vector<InstanceId> expireMembers();

    /// Live members in the order of their ids, without this instance. The pointers are valid until the next
    /// expireMembers().
    std::vector<const Member *> liveMembers() const;

    /// Peer addresses of the live and of the unreachable members.
    std::vector<std::string> liveAddresses() const;
    std::vector<std::string> unreachableAddresses() const;

    /// Peer addresses of live members that are close to their timeout.
    std::vector<std::string> overdueAddresses() const;

    /// True if the fleet has too many live instances for each of them to send its messages to all others.
    bool isLargeFleet() const;

    /// Number of live instances, and of all instances that may still run (live and unreachable). Both count this
    /// instance.
    std::size_t liveCount() const;
    std::size_t knownCount() const;

    /// Requests per second of all other instances that may still run, by their last messages; std::nullopt if one of
    /// them does not report its rate.
    std::optional<double> totalRequestRate() const;

private:
    Duration unreachableTimeout() const;
    bool isApplicable(const GossipMessage &message, Duration age) const;

    const Clock &clock;
    InstanceId self;
    std::map<InstanceId, Member> members;
};

}
