#pragma once

#include <cstddef>
#include <map>
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

    /// Adds the records of a shard, which are not replaced any more. Merges all that were added so if they hold much
    /// more than a reply can contain.
    void add(std::string records);

    /// Sets the records of @p shard, which may be set again later. They are not merged early.
    void setReplaceable(std::size_t shard, std::string records);

    /// Merges all records that were added. Returns false if they hold more than half of the memory afterwards.
    bool dropSurplus();

    /// The greatest records of all shards; see mergeTopRecords().
    std::string merged() const;

    void clear();

    /// Memory of the records.
    std::size_t bytes() const;

private:
    void mergeAdded();

    std::size_t maxRecords;
    /// Of one shard, or merged from several ones.
    std::vector<std::string> addedRecords;
    std::size_t addedBytes = 0;
    /// By shard.
    std::map<std::size_t, std::string> replaceableRecords;
    std::size_t replaceableBytes = 0;
};

}
