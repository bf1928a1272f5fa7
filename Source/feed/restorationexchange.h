#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/**
 * What instances tell each other about a store that has come back from an older copy of its data.
 * Thread safety: none; used on the thread of the request loop.
 */
class RestorationExchange
{
public:
    virtual ~RestorationExchange() = default;

    /// Time for which changes that the store has lost may still be missing, as this instance has noticed itself. Zero
    /// if it has noticed no restoration, or if the time is over. What other instances have said does not count, so that
    /// no two instances can prolong each other's wait.
    virtual Duration rewriteRemaining() const = 0;

    /// Another instance that serves requests has sent its state and has noticed no restoration. Its feed data had the
    /// age @p feedAge.
    virtual void instanceHeard(Duration feedAge) = 0;

    /// Another instance has noticed a restoration; lost changes may be missing for @p remaining. Precondition:
    /// @p remaining is positive.
    virtual void restorationHeard(Duration remaining) = 0;
};

}
