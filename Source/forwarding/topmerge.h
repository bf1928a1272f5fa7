#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Lycheewall
{

/// Size of one record in a part, in bytes.
constexpr std::size_t recordBytes = 16;

/**
 * The greatest @p count records of all parts, greatest first, compared byte by byte. Equal records all count. A
 * remainder of a part that is shorter than a record is ignored. Thread safety: any thread.
 */
std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t count);

}
