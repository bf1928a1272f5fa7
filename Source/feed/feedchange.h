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
/// The zone is evacuated: its endpoints receive no new requests.
struct ZoneEvacuation
{
    ZoneId zone;
};
/// The zone is no longer evacuated.
struct ZoneEvacuationEnd
{
    ZoneId zone;
};
/// An entry that is ignored, with the reason.
struct IgnoredChange
{
    std::string reason;
};

/// Decoded change of one entry.
using FeedChange
    = std::variant<RouteTableChange, EndpointUpdate, EndpointRemoval, ZoneEvacuation, ZoneEvacuationEnd, IgnoredChange>;

/**
 * Decodes entries of the platform's store.
 * Thread safety: any thread.
 */
class FeedDecoder
{
public:
    virtual ~FeedDecoder() = default;
    virtual FeedChange decode(const FeedEvent &event) const = 0;
};

}
