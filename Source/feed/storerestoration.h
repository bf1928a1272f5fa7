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
        /// Called when isAwaitingInstance() has become false without a new listing.
        std::function<void()> awaitEnded;
    };

    /// Operators write what a restored store has lost again within @p rewriteTime.
    StoreRestoration(Duration rewriteTime, Context context);

    /// Other instances may run. Precondition: called before the first listing.
    void expectInstances();

    /// A process without data has listed all entries of @p era as they were at @p confirmedUntil. Must be called before
    /// the listing is confirmed.
    void firstListed(StoreEra era, TimePoint confirmedUntil);

    /// This instance has listed the entries of @p era, and earlier responses were of an older one. Must be called
    /// before the listing is confirmed.
    void newEraListed(StoreEra era);

    /// True while no confirmation counts because no other instance has said yet what it knows.
    bool isAwaitingInstance() const;

    std::optional<RestorationNotice> noticedRestoration() const override;
    void instanceHeard(Duration feedAge) override;
    void restorationHeard(const RestorationNotice &notice) override;

private:
    /// A restoration with the time at which the lost changes are written again.
    struct Restoration
    {
        StoreEra era;
        TimePoint rewrittenAt;
    };

    /// Withholds confirmations if @p heard says that the first listing may lack changes. Returns true if so.
    /// Precondition: there is a first listing of an era above 0.
    bool applyHeardRestoration(const Restoration &heard);
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
    StoreEra firstListedEra;
    /// The latest restoration that this instance has noticed itself.
    std::optional<Restoration> noticed;
    /// The latest restoration of the newest era that other instances have named before the first listing.
    std::optional<Restoration> heardBeforeListing;
    /// Until when no confirmation counts because of what another instance has said.
    std::optional<TimePoint> waitsUntil;
    Subscription awaitTimer;
    /// Runs until the lost changes are written again.
    Subscription checkTimer;
};

}
