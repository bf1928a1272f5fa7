#include "gateway/requestmemory.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Memory of a parsed header field in addition to its text: links in a list and a set, and the allocation.
constexpr std::size_t fieldBytes = 72;
constexpr std::size_t smallBodyBytes = 4096;

}

std::size_t memoryOf(const CallerRequest &request)
{
    std::size_t bytes = sizeof(CallerRequest) + request.body.capacity() + request.target.size()
        + request.headers.capacity() * sizeof(HeaderList::value_type);
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size() + fieldBytes;
    }
    return bytes;
}

std::size_t memoryOf(const boost::beast::http::fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields) {
        bytes += field.name_string().size() + field.value().size() + fieldBytes;
    }
    return bytes;
}

std::size_t memoryOfHeaderText(const char *bytes, std::size_t size)
{
    return size + fieldBytes * static_cast<std::size_t>(std::count(bytes, bytes + size, '\n'));
}

std::size_t endpointCount(const CallerRequest &request, const RouteTable *table)
{
    if (table == nullptr || request.body.size() < smallBodyBytes) {
        return 1;
    }
    const Route *route = table->match(request.host, request.target);
    return route == nullptr ? 1 : std::max<std::size_t>(1, route->shards.size());
}

}
