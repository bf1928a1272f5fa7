#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lycheewall
{

/// Revision of the store. Increases with each change of any entry.
using Revision = std::uint64_t;

/// One change of one entry, or the current state of an entry in a listing.
struct FeedEvent
{
    std::string key;
    std::string value;
    Revision revision = 0;
    bool deleted = false;
};

/// One page of a listing of all entries.
struct FeedPage
{
    std::vector<FeedEvent> items;
    /// The items include all changes up to this revision. Later changes are delivered by watches.
    Revision revision = 0;
    bool hasMore = false;
    /// Age of the source's own feed data at the time of the request. Zero for the store itself; negative if the source
    /// confirmed its data after the request.
    Duration age {};
};

/// Changes after a given revision.
struct FeedBatch
{
    std::vector<FeedEvent> events;
    /// The events include all changes up to this revision.
    Revision revision = 0;
    /// As in FeedPage.
    Duration age {};
    /// True if the source has later changes, which did not fit into the response.
    bool hasMore = false;
};

}
