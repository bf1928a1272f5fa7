#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "core/strongid.h"
#include "core/timerservice.h"
#include "feed/feedfreshness.h"
#include "feed/feedreplica.h"
#include "feed/feedsource.h"

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

/// Tells the reader where to read.
class FeedSourcePolicy
{
public:
    virtual ~FeedSourcePolicy() = default;

    /// True while this instance should read the store itself.
    virtual bool shouldReadStore() const = 0;

    /// Instances with fresh knowledge, best first. Empty when there is none.
    virtual std::vector<FeedPeer> candidatePeers() = 0;
};

struct FeedReaderSettings
{
    /// Longest wait of one watch at the store.
    Duration storeWatchTimeout = std::chrono::seconds(8);
    /// Wait of the first watch at the store after a failure: an answer shows early that the store is back.
    Duration recoveryWatchTimeout = Milliseconds(50);
    /// Longest wait of one watch at another instance. Sets how old an unchanged feed may be there.
    Duration peerWatchTimeout = Milliseconds(400);
    /// Time between two checks of the store's position. Sets how old an unchanged feed may be here.
    Duration revisionCheckInterval = Milliseconds(900);
    /// Pause after a read that brought changes, so that changes in quick succession need one call.
    Duration coalescingDelay = Milliseconds(150);
    /// Pause after a failure of another instance.
    Duration peerRetryDelay = Milliseconds(60);
    /// Pause after a failure of the store; doubles with each failure up to the longest. Calls are priced.
    Duration initialStoreBackoff = Milliseconds(100);
    Duration maxStoreBackoff = Milliseconds(700);
    /// An instance that failed is not asked again for this long.
    Duration peerBackoff = Milliseconds(1000);
    /// Knowledge of another instance that is older is not used.
    Duration maxPeerAge = Milliseconds(2500);
    /// Knowledge that was older than this when it was renewed means that the store was away.
    Duration outageThreshold = Milliseconds(2800);
};

/**
 * Keeps the replica up to date: lists once, then watches; from the store or from another instance, whichever is meant
 * and works. At the store, a watch alone does not prove that nothing has changed: it may hear nothing for a while. A
 * check of the store's position beside it proves it.
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
        /// Asked for checks while a watch waits.
        RevisionSource &revisionSource;
        FeedSourcePolicy &sourcePolicy;
        /// Called when the feed is current again after it was not.
        std::function<void()> recovered;
        /// Called after each successful read or check.
        std::function<void()> updated;
    };

    FeedReader(const FeedReaderSettings &settings, Context context);

    /// Starts to read. Precondition: called once.
    void start();

    /// True while the last successful read was from the store itself.
    bool readsFromStore() const;

private:
    struct Listing
    {
        std::vector<FeedEvent> items;
        Revision at = 0;
        bool started = false;
    };
    /// A position of the store that the replica has not reached yet.
    struct Pending
    {
        Revision at = 0;
        TimePoint moment;
    };

    void step();
    bool chooseSource();
    FeedSource &source();
    Duration watchWait() const;
    void list(TimePoint startedAt);
    void watch(TimePoint startedAt);
    void listed(TimePoint startedAt, const Result<FeedPage> &page);
    void watched(TimePoint startedAt, const Result<FeedBatch> &batch);
    void check();
    void checked(TimePoint startedAt, const Result<Revision> &position);
    void confirmPending();
    bool usable(Duration age) const;
    void confirm(TimePoint moment);
    void worked();
    void failed(const std::error_code &error);
    void again(Duration pause);

    FeedReaderSettings settings;
    Context context;
    std::shared_ptr<FeedSource> peer;
    InstanceId peerName;
    bool usingStore = true;
    bool mustList = true;
    Listing listing;
    TimePoint storeAvoidedUntil;
    Duration storePause {};
    std::map<InstanceId, TimePoint> peersAvoidedUntil;
    bool failing = false;
    bool checking = false;
    std::optional<Pending> pending;
    Subscription timer;
    Subscription checkTimer;
};

}
