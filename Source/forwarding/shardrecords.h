#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Lycheewall
{

/**
 * The records in the responses of the shards of one query, until they are merged for the reply. A query for few records
 * does not keep all that its shards have sent: the records that cannot be among the greatest ones are dropped early.
 * Thread safety: none; used on the thread of the request loop.
 */
class ShardRecords
{
public:
    /// @p maxRecords is the number of records in the reply.
    explicit ShardRecords(std::size_t maxRecords);

    /// Sets the records of @p shard. Precondition: mergeIfLarge() was not called since records of @p shard were set.
    void set(std::size_t shard, std::string records);

    /// Merges the records if they hold much more than a reply can contain. No record can be replaced afterwards.
    void mergeIfLarge();

    /// The greatest records of all shards; see mergeTopRecords().
    std::string merged() const;

    void clear();

    /// Memory of the records.
    std::size_t bytes() const;

private:
    std::size_t maxRecords;
    /// By shard; empty if they were merged.
    std::vector<std::string> recordsByShard;
    std::size_t bytesByShard = 0;
    /// The greatest records of shards that are not in recordsByShard any more.
    std::string mergedRecords;
};

}
