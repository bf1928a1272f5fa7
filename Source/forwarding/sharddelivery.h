#pragma once

#include <cstddef>
#include <vector>

namespace Lycheewall
{

/**
 * How often the shards of an index have recently responded to queries. Callers leave out rejections for lack of room.
 * Tells whether a query can be expected to reach its required coverage.
 * Thread safety: none; used on the thread of the request loop.
 */
class ShardDelivery
{
public:
    /// Records whether a shard has responded. Precondition: shard < shardCount.
    void record(std::size_t shard, std::size_t shardCount, bool delivered);

    /// Records how many shards have responded to a query. If so many were very unlikely, the endpoints have changed,
    /// and what was recorded about them is dropped.
    void recordCoverage(std::size_t delivered);

    /// False if it is very unlikely that as many as @p required of @p shardCount shards respond to a query. True if the
    /// recorded responses are those of another number of shards.
    bool canReach(std::size_t required, std::size_t shardCount) const;

private:
    /// By shard: moving average of the fraction of queries that it has responded to.
    std::vector<double> deliveredFractions;
};

}
