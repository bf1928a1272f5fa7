#include "forwarding/topmerge.h"

#include <algorithm>
#include <functional>

namespace Lycheewall
{

std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes) {
            records.push_back(part.substr(offset, recordBytes));
        }
    }
    const std::size_t wanted = std::min(count, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(wanted);
    // char_traits<char> compares as unsigned bytes.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(wanted * recordBytes);
    for (auto record = records.begin(); record != end; ++record) {
        merged.append(*record);
    }
    return merged;
}

}
