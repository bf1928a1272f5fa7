#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "core/strongid.h"
#include "core/timerservice.h"
#include "feed/feedfreshness.h"
#include "feed/feedreplica.h"
#include "feed/feedsource.h"
#include "feed/storerestoration.h"

#include <memory>
#include <optional>

namespace Lycheewall
{

/// Another instance that the feed can be read from.
struct FeedPeer
{
    InstanceId instance;
    std::shared_ptr<FeedSource> source;
};

/**
 * Selects the sources that the reader reads from.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedSourcePolicy
{
public:
    virtual ~FeedSourcePolicy() = default;

    /// True while this instance should read from the store itself.
    virtual bool shouldReadStore() const = 0;

    /// Instances with fresh feed data, best first. Empty if there are none.
    virtual std::vector<FeedPeer> candidatePeers() = 0;
};

struct FeedReaderSettings
{
    /// Timeout of a watch at the store.
    Duration storeWatchTimeout = std::chrono::seconds(8);
    /// Timeout of the first watch at the store after a failure. It is short, so that the response shows early that the
    /// store is available again.
    Duration recoveryWatchTimeout = Milliseconds(50);
    /// Timeout of a watch at another instance. Determines the age that an unchanged feed reaches on instances that read
    /// from another one.
    Duration peerWatchTimeout = Milliseconds(400);
    /// Interval between two checks of the store's revision. Determines the age that an unchanged feed reaches on the
    /// instance that reads from the store.
    Duration revisionCheckInterval = Milliseconds(900);
    /// Time that a watch or a listing may take to be answered after a check has shown changes that it must report.
    /// Later its response is taken to be lost.
    Duration overdueResponseDelay = Milliseconds(500);
    /// Delay after a watch that returned changes, or that returned sooner than this, so that one call fetches several
    /// changes in quick succession.
    Duration coalescingDelay = Milliseconds(150);
    /// Delay before the next read after a failure of the store, or while no source can be used.
    Duration sourceRetryDelay = Milliseconds(60);
    /// Backoff after a failure of the store. Doubles with each failure up to the maximum, because calls are billed.
    Duration initialStoreBackoff = Milliseconds(100);
    Duration maxStoreBackoff = Milliseconds(700);
    /// Backoff of an instance after a failed read from it.
    Duration peerBackoff = Milliseconds(1000);
    /// Older feed data of another instance is not used.
    Duration maxPeerAge = Milliseconds(2500);
    /// If the feed data was older than this before it was renewed, the store is taken to have been unavailable.
    Duration outageThreshold = Milliseconds(2800);
    /// Operators write what a restored store has lost again within this time.
    Duration rewriteTime = std::chrono::seconds(2);
};

/**
 * Keeps the replica up to date: lists all entries once, then watches for changes. Reads from the store or from another
 * instance, depending on the source policy and on which sources work. A watch at the store does not prove that nothing
 * has changed, because it may receive nothing for a while, or its response may be lost. Periodic checks of the store's
 * position prove it; a watch that does not report a change that a check has shown is replaced by a new one. Once any
 * response names a newer era, all entries are listed again, and responses of older eras are refused.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedReader
{
public:
    struct Context
    {
        const Clock &clock;
        TimerService &timers;
        Counters &counters;
        FeedReplica &replica;
        FeedFreshness &freshness;
        FeedSource &store;
        /// Used for the periodic checks, while a watch is in flight.
        RevisionSource &revisionSource;
        FeedSourcePolicy &sourcePolicy;
        /// Called when the feed data is fresh again after an outage.
        std::function<void()> recovered;
        /// Called before the first listing of a newer era is applied.
        std::function<void()> restored;
        /// Called after each successful read or check.
        std::function<void()> updated;
    };

    FeedReader(const FeedReaderSettings &settings, Context context);

    /// Starts reading. Precondition: called once.
    void start();

    /// True while the store itself is the source in use and its last read has not failed.
    bool readsFromStore() const;

    /// What this instance and others know about a store that has come back from an older copy.
    StoreRestoration &restoration();

private:
    struct Listing
    {
        std::vector<FeedEvent> items;
        FeedPosition position;
        /// Time up to which the first page holds all changes.
        TimePoint confirmedUntil;
        bool started = false;
    };
    /// A position of the store that the replica may not have reached yet, and the time when the check was started.
    struct CheckedPosition
    {
        FeedPosition position;
        TimePoint startedAt;
    };

    void startRead();
    bool chooseSource();
    FeedSource &source();
    Duration watchTimeout() const;
    void list(TimePoint startedAt);
    void watch(TimePoint startedAt);
    void handlePage(TimePoint startedAt, const Result<FeedPage> &page);
    void handleBatch(TimePoint startedAt, const Result<FeedBatch> &batch);
    /// Applies a listing whose pages have all arrived.
    void applyListing(const Listing &complete);
    /// Called before a listing of a newer era is applied.
    void handleRestoration(const Listing &complete);
    StoreRestoration::Context restorationContext();
    /// Returns false if @p era is older than one that is known. A newer one requires a listing.
    bool acceptEra(StoreEra era);
    void checkRevision();
    void handlePosition(TimePoint startedAt, const Result<FeedPosition> &position);
    void cancelWatchOfOlderEra();
    void confirmCheckedPosition();
    void cancelOverdueRequest();
    bool isFreshEnough(Duration age) const;
    void confirm(TimePoint time);
    /// True if the feed data is so old that the store is taken to be unavailable.
    bool isUnavailable() const;
    void handleSuccess();
    void handleFailure(const std::error_code &error);
    void scheduleRead(Duration delay);

    FeedReaderSettings settings;
    Context context;
    StoreRestoration storeRestoration;
    std::shared_ptr<FeedSource> peer;
    InstanceId peerInstance;
    bool usingStore = true;
    bool needsListing = true;
    Listing listing;
    TimePoint storeBackoffUntil;
    Duration storeBackoff {};
    std::map<InstanceId, TimePoint> peerBackoffUntil;
    bool failing = false;
    bool checkInFlight = false;
    std::optional<CheckedPosition> checkedPosition;
    /// The newest era that a response has named. The replica may not have reached it yet.
    StoreEra knownEra;
    /// The era has risen between responses that this process has received before its first listing was complete.
    bool hasEraRisenBeforeListing = false;
    /// When the request in flight to the store was sent; std::nullopt if there is none.
    std::optional<TimePoint> storeRequestSentAt;
    /// This instance has cancelled the request in flight to the store, which itself works.
    bool isRequestCancelled = false;
    Subscription timer;
    Subscription checkTimer;
    Subscription overdueTimer;
};

}
