#pragma once

#include <cstddef>
#include <vector>

namespace Lycheewall
{

enum class ShardState { Pending, Succeeded, Failed };

/**
 * Which shards of a query have responded, and whether they cover enough of the index.
 * Thread safety: none; used on the thread of the request loop.
 */
class ShardStates
{
public:
    /// All shards are pending. A reply needs the responses of @p required of them.
    ShardStates(std::size_t shards, std::size_t required);

    /// Sets the state of @p shard unless it has succeeded. Precondition: @p state is not Pending.
    void set(std::size_t shard, ShardState state);

    bool isPending(std::size_t shard) const;
    bool hasSucceeded(std::size_t shard) const;

    std::size_t count() const;
    std::size_t succeededCount() const;

    bool areAllFinished() const;
    bool hasRequiredCoverage() const;
    bool canReachRequiredCoverage() const;

private:
    std::vector<ShardState> states;
    std::size_t required;
    std::size_t succeeded = 0;
    std::size_t failed = 0;
};

}
