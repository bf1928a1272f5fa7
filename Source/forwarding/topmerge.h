#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Lycheewall
{

/// Size of one record of a shard response, in bytes.
constexpr std::size_t recordBytes = 16;

/**
 * Returns the greatest @p maxRecords records of all responses in descending order, compared as unsigned bytes. Equal
 * records are not deduplicated. A remainder of a response that is shorter than a record is ignored.
 * Thread safety: may be called from any thread.
 */
std::string mergeTopRecords(const std::vector<std::string_view> &responses, std::size_t maxRecords);

}
