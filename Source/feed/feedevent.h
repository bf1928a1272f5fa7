#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lycheewall
{

/// Position in the store's history. Grows with each change of any entry.
using Revision = std::uint64_t;

/// One change of one entry.
struct FeedEvent
{
    std::string key;
    std::string value;
    Revision revision = 0;
    bool deleted = false;
};

/// All entries at one position, or a part of them.
struct FeedPage
{
    std::vector<FeedEvent> items;
    /// The items are known to be complete up to here. Changes after it come with the events.
    Revision revision = 0;
    bool hasMore = false;
    /// How old the source's own knowledge is, counted from the question; zero for the store itself, negative when the
    /// source confirmed its knowledge after the question.
    Duration age {};
};

/// The changes after a position.
struct FeedBatch
{
    std::vector<FeedEvent> events;
    Revision revision = 0;
    /// As in FeedPage.
    Duration age {};
};

}
