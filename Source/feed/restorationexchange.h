#pragma once

#include "core/clock.h"
#include "feed/feedposition.h"

#include <optional>

namespace Lycheewall
{

/// An instance has seen the store come back from an older copy.
struct RestorationNotice
{
    /// The era that the copy began.
    StoreEra era;
    /// Time for which changes that the store has lost may still be missing.
    Duration rewriteRemaining {};
};

/**
 * What instances tell each other about a store that has come back from an older copy of its data.
 * Thread safety: none; used on the thread of the request loop.
 */
class RestorationExchange
{
public:
    virtual ~RestorationExchange() = default;

    /// The latest restoration that this instance has noticed itself; std::nullopt if there was none, or if its time is
    /// over. What other instances have said does not count, so that no two instances can prolong each other's wait.
    virtual std::optional<RestorationNotice> noticedRestoration() const = 0;

    /// Another instance that serves requests has sent its state and has noticed no restoration. Its feed data had the
    /// age @p feedAge.
    virtual void instanceHeard(Duration feedAge) = 0;

    /// Another instance has noticed a restoration. Precondition: the remaining time is positive.
    virtual void restorationHeard(const RestorationNotice &notice) = 0;
};

}
