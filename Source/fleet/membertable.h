#pragma once

#include "fleet/fleetmessage.h"

#include <map>
#include <optional>
#include <set>

namespace Lycheewall
{

/// An instance as this one knows it.
struct Member
{
    FleetMessage latest;
    TimePoint heardAt;
    bool silent = false;
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

    /// Returns true when the instance was unknown, silent, or has a new incarnation.
    bool heard(const FleetMessage &message);

    /// Marks silent instances and forgets those long gone. Returns the ones that fell silent now.
    std::vector<InstanceId> sweep();

    /// Instances that are heard from, this one excluded, in the order of their ids.
    std::vector<const Member *> alive() const;

    /// Peer addresses of all instances that are not forgotten, silent ones too.
    std::vector<std::string> aliveAddresses() const;
    std::vector<std::string> silentAddresses() const;

    /// Instances heard from, and all that may still be running; this one included.
    std::size_t heardCount() const;
    std::size_t possibleCount() const;

private:
    const Clock &clock;
    InstanceId self;
    std::map<InstanceId, Member> members;
};

}
