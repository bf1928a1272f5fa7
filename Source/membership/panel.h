#pragma once

#include "catalogue/instancelist.h"

namespace Lycheewall
{

/**
 * The instances that vote on a resource. Leaving instances belong to it while they are listed.
 * Thread safety: immutable once made.
 */
class Panel
{
public:
    /// A panel has this many members, fewer when the list is shorter.
    static constexpr std::size_t size = 7;

    Panel() = default;

    /// The panel of a resource according to this list.
    static Panel of(const ResourceId &resource, const InstanceList &list);

    /// Members by rank, the preferred owner first.
    const std::vector<InstanceId> &members() const;

    /// Grants that make a holder. Never 0, so nobody holds a resource with an empty panel.
    std::size_t quorum() const;

    bool contains(const InstanceId &instance) const;

private:
    std::vector<InstanceId> ranked;
};

}
