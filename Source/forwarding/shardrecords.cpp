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

void ShardRecords::add(std::string records)
{
    this->addedBytes += records.size();
    this->addedRecords.push_back(std::move(records));
    // Divided, because the configured number of records may be very large.
    if (this->addedBytes >= minBytesToMerge && this->addedBytes / (mergeMultiple * recordBytes) > this->maxRecords) {
        this->mergeAdded();
    }
}

void ShardRecords::setReplaceable(std::size_t shard, std::string records)
{
    std::string &current = this->replaceableRecords[shard];
    this->replaceableBytes = this->replaceableBytes - current.size() + records.size();
    current = std::move(records);
}

bool ShardRecords::dropSurplus()
{
    const std::size_t bytesBefore = this->bytes();
    this->mergeAdded();
    return this->bytes() <= bytesBefore / 2;
}

void ShardRecords::mergeAdded()
{
    const std::vector<std::string_view> views(this->addedRecords.begin(), this->addedRecords.end());
    std::string records = mergeTopRecords(views, this->maxRecords);
    this->addedBytes = records.size();
    this->addedRecords = {};
    this->addedRecords.push_back(std::move(records));
}

std::string ShardRecords::merged() const
{
    std::vector<std::string_view> views(this->addedRecords.begin(), this->addedRecords.end());
    for (const auto &[shard, records] : this->replaceableRecords) {
        views.push_back(records);
    }
    return mergeTopRecords(views, this->maxRecords);
}

void ShardRecords::clear()
{
    this->addedRecords = {};
    this->addedBytes = 0;
    this->replaceableRecords.clear();
    this->replaceableBytes = 0;
}

std::size_t ShardRecords::bytes() const
{
    return this->addedBytes + this->replaceableBytes;
}

}
