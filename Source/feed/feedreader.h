#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "core/strongid.h"
#include "core/timerservice.h"
#include "feed/feedreplica.h"
#include "feed/feedsource.h"
#include "feed/freshness.h"

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
class FeedRoutes
{
public:
    virtual ~FeedRoutes() = default;

    /// True while this instance should read the store itself.
    virtual bool readsStore() const = 0;

    /// Instances with fresh knowledge, best first. Empty when there is none.
    virtual std::vector<FeedPeer> peers() = 0;
};

struct FeedReaderSettings
{
    /// Longest wait of one watch. Sets how old an unchanged feed may be.
    Duration wait = Milliseconds(800);
    /// Pause after a read that brought changes, so that changes in quick succession need one call.
    Duration gather = Milliseconds(50);
    /// Pause after a failure, before the next source is tried.
    Duration retryPause = Milliseconds(60);
    /// A source that failed is tried last for this long.
    Duration avoidance = Milliseconds(1000);
    /// Knowledge of another instance that is older is not used.
    Duration oldestPeer = Milliseconds(2500);
    /// Knowledge that was older than this when it was renewed means that the store was away.
    Duration outage = Milliseconds(2800);
};

/**
 * Keeps the replica up to date: lists once, then watches; from the store or from another instance, whichever is meant
 * and works.
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
        FeedRoutes &routes;
        /// Called when the feed is current again after it was not.
        std::function<void()> returned;
        /// Called after each successful read.
        std::function<void()> advanced;
    };

    FeedReader(const FeedReaderSettings &settings, Context context);

    /// Starts to read. Precondition: called once.
    void start();

    /// True while the last successful read was from the store itself.
    bool usesStore() const;

private:
    struct Listing
    {
        std::vector<FeedEvent> items;
        Revision at = 0;
        bool started = false;
    };

    void step();
    void chooseSource();
    void list(TimePoint startedAt);
    void watch(TimePoint startedAt);
    void listed(TimePoint startedAt, const Result<FeedPage> &page);
    void watched(TimePoint startedAt, const Result<FeedBatch> &batch);
    bool usable(Duration age) const;
    void confirm(TimePoint moment);
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
    std::map<InstanceId, TimePoint> peersAvoidedUntil;
    bool failing = false;
    Subscription timer;
};

}
