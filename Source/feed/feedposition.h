#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <ostream>
#include <tuple>

namespace Lycheewall
{

/// Revision of the store. Increases with each change of any entry within an era.
using Revision = std::uint64_t;

/// Rises by one each time the store comes back from an older copy of its data. 0 if the source names no era.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

/**
 * A state of the store. Revisions are given out again in a later era, so a revision alone does not name a state.
 * Ordered by era, then by revision.
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
struct FeedPosition
{
    StoreEra era;
    Revision revision = 0;
};

inline bool operator==(const FeedPosition &left, const FeedPosition &right)
{
    return left.era == right.era && left.revision == right.revision;
}
inline bool operator!=(const FeedPosition &left, const FeedPosition &right)
{
    return !(left == right);
}
inline bool operator<(const FeedPosition &left, const FeedPosition &right)
{
    return std::tie(left.era, left.revision) < std::tie(right.era, right.revision);
}
inline std::ostream &operator<<(std::ostream &stream, const FeedPosition &position)
{
    return stream << "revision " << position.revision << " of era " << position.era;
}

}
