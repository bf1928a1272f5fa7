#include "forwarding/shardrecords.h"

#include "forwarding/topmerge.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Records are merged early when they hold this multiple of the reply, so that merging them costs little for each, but
/// not while they hold less than the least number of bytes.
constexpr std::size_t mergeMultiple = 2;
constexpr std::size_t minBytesToMerge = std::size_t { 64 } * 1024;

}

ShardRecords::ShardRecords(std::size_t recordLimit)
    : maxRecords(recordLimit)
{
}

void ShardRecords::set(std::size_t shard, std::string records)
{
    if (this->recordsByShard.size() <= shard) {
        this->recordsByShard.resize(shard + 1);
    }
    this->bytesByShard = this->bytesByShard - this->recordsByShard[shard].size() + records.size();
    this->recordsByShard[shard] = std::move(records);
}

void ShardRecords::mergeIfLarge()
{
    // Divided, because the configured number of records may be very large.
    const std::size_t bytesHeld = this->bytes();
    if (bytesHeld < minBytesToMerge || bytesHeld / (mergeMultiple * recordBytes) <= this->maxRecords) {
        return;
    }
    std::string records = this->merged();
    this->clear();
    this->mergedRecords = std::move(records);
}

std::string ShardRecords::merged() const
{
    std::vector<std::string_view> views { this->mergedRecords };
    views.insert(views.end(), this->recordsByShard.begin(), this->recordsByShard.end());
    return mergeTopRecords(views, this->maxRecords);
}

void ShardRecords::clear()
{
    this->recordsByShard = {};
    this->bytesByShard = 0;
    this->mergedRecords = {};
}

std::size_t ShardRecords::bytes() const
{
    return this->bytesByShard + this->mergedRecords.size();
}

}
