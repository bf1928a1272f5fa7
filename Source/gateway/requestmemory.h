#pragma once

#include "forwarding/messages.h"
#include "forwarding/routetable.h"

#include <boost/beast/http/fields.hpp>
#include <cstddef>

namespace Lycheewall
{

/// Memory of an accepted connection's socket, its timer and its pending operations.
constexpr std::size_t socketMemoryBytes = 2048;

/// Estimated memory of a request: its text, its containers and the allocations of its header fields. Also the memory of
/// the message in which it is sent to an endpoint. Thread safety: any thread.
std::size_t memoryOf(const CallerRequest &request);

/// Estimated memory of parsed header fields: a small field needs many times its text. Thread safety: any thread.
std::size_t memoryOf(const boost::beast::http::fields &fields);

/// Estimated memory of the header fields in @p size bytes of an incomplete header. Thread safety: any thread.
std::size_t memoryOfHeaderText(const char *bytes, std::size_t size);

/// Number of endpoints that @p request is sent to at the same time: the shards of its route in @p table, which may be
/// null. A request with a small body counts as sent to one, which saves looking up the route. Thread safety: any
/// thread.
std::size_t endpointCount(const CallerRequest &request, const RouteTable *table);

}
