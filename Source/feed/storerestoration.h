#pragma once

#include "core/timerservice.h"
#include "feed/feedfreshness.h"
#include "feed/feedposition.h"
#include "feed/restorationexchange.h"

#include <functional>
#include <optional>

namespace Lycheewall
{

/**
 * Decides from when on the store holds again what it has lost by going back to an older copy. An instance that knows
 * the earlier era counts from its own listing of the new one. A process whose first listing is of the copy knows no
 * earlier era and depends on what the other instances say.
 * Thread safety: none; used on the thread of the request loop.
 */
class StoreRestoration : public RestorationExchange
{
public:
    struct Context
    {
        const Clock &clock;
        TimerService &timers;
        FeedFreshness &freshness;
        /// Checks the store's position, which confirms the data.
        std::function<void()> checkStore;
        /// Called when isAwaitingInstance() has become false.
        std::function<void()> awaitEnded;
    };

    /// Operators write what a restored store has lost again within @p rewriteTime.
    StoreRestoration(Duration rewriteTime, Context context);

    /// Other instances may run. Precondition: called before the first listing.
    void expectInstances();

    /// A process without data has listed all entries of @p era as they were at @p confirmedUntil. Must be called before
    /// the listing is confirmed.
    void firstListed(StoreEra era, TimePoint confirmedUntil);

    /// This instance has listed the entries of a newer era than before. Must be called before the listing is confirmed.
    void newEraListed();

    /// True while no confirmation counts because no other instance has said yet what it knows.
    bool isAwaitingInstance() const;

    Duration rewriteRemaining() const override;
    void instanceHeard(Duration feedAge) override;
    void restorationHeard(Duration remaining) override;

private:
    /// Returns true if changes are missing according to another instance, which has taken effect.
    bool applyHeardRestoration();
    void stopAwaiting();
    void checkStoreAt(TimePoint rewrittenAt);

    Duration rewriteTime;
    Context context;
    bool expectsInstance = false;
    bool awaitsInstance = false;
    /// Time up to which the first listing holds all changes.
    TimePoint firstConfirmedUntil;
    /// When the first listing arrived; std::nullopt before, and for a store without eras.
    std::optional<TimePoint> firstListedAt;
    /// When the lost changes are written again, as this instance has noticed itself.
    std::optional<TimePoint> noticedRewrittenAt;
    /// The latest such time that another instance has named.
    std::optional<TimePoint> heardRewrittenAt;
    /// Until when no confirmation counts because of what another instance has said.
    std::optional<TimePoint> waitsUntil;
    Subscription awaitTimer;
    /// Runs until the lost changes are written again.
    Subscription checkTimer;
};

}
