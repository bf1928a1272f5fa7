#pragma once

#include <iterator>

namespace Lycheewall
{

/// Erases the entries of a map for whose value @p predicate returns true. Thread safety: that of @p map.
template<typename Map, typename Predicate> void eraseValuesIf(Map &map, Predicate predicate)
{
    for (auto entry = map.begin(); entry != map.end();) {
        entry = predicate(entry->second) ? map.erase(entry) : std::next(entry);
    }
}

}
