#pragma once

#include "core/clock.h"
#include "feed/feedposition.h"

#include <string>
#include <vector>

namespace Lycheewall
{

/// One change of one entry, or the current state of an entry in a listing.
struct FeedEvent
{
    std::string key;
    std::string value;
    /// In the era of the page, batch or replica that holds the event.
    Revision revision = 0;
    bool deleted = false;
    /// The store went back to a copy with this entry, which had been removed. Set by the replica for its listener.
    bool reappeared = false;
};

/// One page of a listing of all entries.
struct FeedPage
{
    std::vector<FeedEvent> items;
    /// The items include all changes up to this position. Later changes are delivered by watches.
    FeedPosition position;
    bool hasMore = false;
    /// Age of the source's own feed data at the time of the request. Zero for the store itself; negative if the source
    /// confirmed its data after the request.
    Duration age {};
};

/// Changes after a given position.
struct FeedBatch
{
    std::vector<FeedEvent> events;
    /// The events include all changes up to this position.
    FeedPosition position;
    /// As in FeedPage.
    Duration age {};
    /// True if the source has later changes, which did not fit into the response.
    bool hasMore = false;
};

}
