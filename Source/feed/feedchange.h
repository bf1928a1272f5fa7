#pragma once

#include "feed/feedevent.h"
#include "forwarding/endpointset.h"

#include <variant>

namespace Lycheewall
{

struct RouteTableChange
{
    std::shared_ptr<const RouteTable> table;
};
struct EndpointUpdate
{
    EndpointRecord record;
};
struct EndpointRemoval
{
    EndpointId id;
};
/// Nothing new may be sent to the zone's endpoints.
struct ZoneEvacuation
{
    ZoneId zone;
};
struct ZoneEvacuationEnd
{
    ZoneId zone;
};
/// An entry that is not used, and why.
struct IgnoredChange
{
    std::string reason;
};

/// What a change of an entry means.
using FeedChange
    = std::variant<RouteTableChange, EndpointUpdate, EndpointRemoval, ZoneEvacuation, ZoneEvacuationEnd, IgnoredChange>;

/**
 * Reads the platform's entries.
 * Thread safety: any thread.
 */
class FeedDecoder
{
public:
    virtual ~FeedDecoder() = default;
    virtual FeedChange decode(const FeedEvent &event) const = 0;
};

}
