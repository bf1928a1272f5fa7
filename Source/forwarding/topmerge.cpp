#include "forwarding/topmerge.h"

#include <algorithm>
#include <functional>

namespace Lycheewall
{

std::string mergeTopRecords(const std::vector<std::string_view> &responses, std::size_t maxRecords)
{
    std::vector<std::string_view> records;
    for (const std::string_view response : responses) {
        for (std::size_t offset = 0; offset + recordBytes <= response.size(); offset += recordBytes) {
            records.push_back(response.substr(offset, recordBytes));
        }
    }
    const std::size_t resultCount = std::min(maxRecords, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(resultCount);
    // char_traits<char> compares as unsigned bytes.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(resultCount * recordBytes);
    for (auto record = records.begin(); record != end; ++record) {
        merged.append(*record);
    }
    return merged;
}

}
