#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Lycheewall
{

/**
 * Highest-random-weight hashing with a result that is the same in every process and build.
 * Thread safety: static functions without state.
 */
class RendezvousHash
{
public:
    /// All instances, the one with the highest weight for @p key first.
    static std::vector<InstanceId> rank(const std::string &key, const std::vector<InstanceId> &instances);

    /// The first @p count of rank(), or all when there are fewer.
    static std::vector<InstanceId>
    top(const std::string &key, const std::vector<InstanceId> &instances, std::size_t count);

    /// The weight of an instance for a key: FNV-1a over "<key>\0<instance>", mixed by the MurmurHash3 finalizer.
    static std::uint64_t weight(std::string_view key, std::string_view instance);
};

}
