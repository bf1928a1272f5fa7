#pragma once

#include "fleet/gossipmessage.h"

#include <map>
#include <optional>
#include <set>

namespace Lycheewall
{

/// Up to this number of other instances, each tells all others of itself; beyond it, most hear of it through others.
constexpr std::size_t maxFullMeshPeers = 12;

/// What a message says that was not known before.
enum class MemberNews {
    /// Nothing: the message is older than the last one of its instance.
    None,
    /// A newer message of a known process.
    Newer,
    /// The instance was unknown or silent, or its process is a new one.
    Appeared
};

/// An instance as this one knows it.
struct Member
{
    GossipMessage lastMessage;
    TimePoint lastMessageAt;
    bool unreachable = false;
};

/**
 * The instances that this one has heard of. An instance that says nothing for a while counts as silent; it may still
 * run, and is forgotten only after a long time unless it said that it was leaving.
 * Thread safety: none; used on the thread of the request loop.
 */
class MemberTable
{
public:
    MemberTable(const Clock &clock, InstanceId self);

    /// Takes a message that was sent @p age ago, unless it is older than the last one of its instance.
    MemberNews update(const GossipMessage &message, Duration age = Duration::zero());

    /// Marks silent instances and forgets those long gone. Returns the ones that fell silent now.
    std::vector<InstanceId> expireMembers();

    /// Instances that are heard from, this one excluded, in the order of their ids.
    std::vector<const Member *> liveMembers() const;

    /// Peer addresses of the instances that are heard from, and of the silent ones.
    std::vector<std::string> liveAddresses() const;
    std::vector<std::string> unreachableAddresses() const;

    /// Peer addresses of instances that count as silent soon if nothing is heard of them.
    std::vector<std::string> overdueAddresses() const;

    /// True when so many instances are heard from that not each of them can tell all others.
    bool isLargeFleet() const;

    /// Instances heard from, and all that may still be running; this one included.
    std::size_t liveCount() const;
    std::size_t knownCount() const;

private:
    Duration silentAfter() const;
    bool isNews(const GossipMessage &message, Duration age) const;

    const Clock &clock;
    InstanceId self;
    std::map<InstanceId, Member> members;
};

}
