#pragma once

#include "core/manualclock.h"
#include "feed/feedreader.h"

namespace Lycheewall
{

/// Time that the client of the fake store waits for a response beyond the timeout of a watch.
constexpr Duration fakeStoreResponseTimeout = Milliseconds(700);

/// A source with responses set by the test. While it is unresponsive, requests end by their timeouts.
class FakeSource : public FeedSource, public RevisionSource
{
public:
    explicit FakeSource(ManualClock &manualClock)
        : clock(manualClock)
    {
    }

    void list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done) override
    {
        ++this->calls;
        if (this->unresponsive || this->failing) {
            this->schedule(this->unresponsive ? Milliseconds(1500) : Milliseconds(1),
                           [done, this] { done(this->error()); });
            return;
        }
        FeedPage page;
        page.position = { this->era, this->latestRevision };
        page.age = this->age;
        for (const FeedEvent &item : this->items) {
            if (item.key > afterKey && page.items.size() < this->pageSize) {
                page.items.push_back(item);
            }
        }
        page.hasMore = !page.items.empty() && page.items.back().key != this->items.back().key;
        this->schedule(Milliseconds(4), [done, page] { done(page); });
    }

    void watch(FeedPosition after, Duration timeout, std::function<void(Result<FeedBatch>)> done) override
    {
        ++this->calls;
        this->watchCallback = done;
        this->watchDeadline = this->clock.now() + timeout + fakeStoreResponseTimeout;
        if (this->unresponsive) {
            this->watchTimer
                = this->clock.after(timeout + fakeStoreResponseTimeout, [this] { this->endWatch(this->error()); });
            return;
        }
        if (this->failing || after.revision < this->historyStart || this->areWatchesTooLarge) {
            const std::error_code reason = this->failing ? this->error() : this->watchError();
            this->watchTimer = this->clock.after(Milliseconds(1), [this, reason] { this->endWatch(reason); });
            return;
        }
        FeedBatch batch;
        batch.position = { this->era, this->latestRevision };
        batch.age = this->age;
        for (const FeedEvent &event : this->events) {
            if (event.revision > after.revision) {
                batch.events.push_back(event);
            }
        }
        const Duration delay = batch.events.empty() ? timeout : this->responseTime;
        this->watchTimer = this->clock.after(delay, [this, batch] { this->endWatch(batch); });
    }

    /// Goes back to a copy with the entries @p copy and the next era. The watch in flight keeps its response.
    void restore(std::vector<FeedEvent> copy, Revision copyRevision)
    {
        this->items = std::move(copy);
        this->events.clear();
        this->latestRevision = copyRevision;
        this->era = StoreEra(this->era.value() + 1);
    }

    /// Makes a change. The watch in flight reports it after the response time, unless its response is lost.
    void change(const FeedEvent &event, bool isResponseLost)
    {
        this->events.push_back(event);
        this->latestRevision = event.revision;
        if (!this->watchCallback) {
            return;
        }
        if (isResponseLost) {
            this->watchTimer = this->clock.after(this->watchDeadline - this->clock.now(),
                                                 [this] { this->endWatch(make_error_code(FeedError::TimedOut)); });
            return;
        }
        const FeedBatch batch { { event }, { this->era, event.revision }, {}, false };
        this->watchTimer = this->clock.after(this->responseTime, [this, batch] { this->endWatch(batch); });
    }

    void cancelUnanswered() override
    {
        if (this->watchCallback && !this->isResponseArriving) {
            this->watchTimer = this->clock.after(Duration::zero(), [this] { this->endWatch(this->error()); });
        }
    }

    void currentPosition(std::function<void(Result<FeedPosition>)> done) override
    {
        ++this->calls;
        if (this->unresponsive || this->failing) {
            this->schedule(this->unresponsive ? Milliseconds(600) : Milliseconds(1),
                           [done, this] { done(this->error()); });
            return;
        }
        this->schedule(this->responseTime,
                       [done, position = FeedPosition { this->era, this->latestRevision }] { done(position); });
    }

    std::vector<FeedEvent> items;
    std::vector<FeedEvent> events;
    StoreEra era;
    Revision latestRevision = 10;
    Revision historyStart = 0;
    Duration age {};
    Duration responseTime = Milliseconds(4);
    std::size_t pageSize = 500;
    bool unresponsive = false;
    bool failing = false;
    bool areWatchesTooLarge = false;
    /// The response to the watch in flight has begun to arrive.
    bool isResponseArriving = false;
    int calls = 0;

private:
    std::error_code error() const
    {
        return this->unresponsive ? FeedError::TimedOut : FeedError::Unreachable;
    }
    std::error_code watchError() const
    {
        return this->areWatchesTooLarge ? FeedError::ResponseTooLarge : FeedError::HistoryCompacted;
    }
    void schedule(Duration delay, std::function<void()> action)
    {
        this->timers.push_back(this->clock.after(delay, std::move(action)));
    }
    void endWatch(const Result<FeedBatch> &batch)
    {
        const auto callback = std::move(this->watchCallback);
        this->watchCallback = nullptr;
        if (callback) {
            callback(batch);
        }
    }

    ManualClock &clock;
    std::vector<Subscription> timers;
    Subscription watchTimer;
    /// When the client gives up the watch in flight.
    TimePoint watchDeadline;
    std::function<void(Result<FeedBatch>)> watchCallback;
};

class FakeSourcePolicy : public FeedSourcePolicy
{
public:
    bool shouldReadStore() const override
    {
        return this->readsStoreNow;
    }
    std::vector<FeedPeer> candidatePeers() override
    {
        return this->candidates;
    }
    bool readsStoreNow = true;
    std::vector<FeedPeer> candidates;
};

struct FeedReaderFixture
{
    FeedReaderFixture()
    {
        this->replica.setListener([this](const FeedEvent &event) { this->receivedEvents.push_back(event); });
        this->store.items = { { "a", "1", 3, false }, { "b", "2", 5, false } };
    }

    ManualClock clock;
    Counters counters;
    FeedReplica replica;
    FeedFreshness freshness { clock };
    FakeSource store { clock };
    FakeSourcePolicy sourcePolicy;
    std::vector<FeedEvent> receivedEvents;
    int recoveries = 0;
    int restorations = 0;
    int updates = 0;
    FeedReader reader { {},
                        { clock,
                          clock,
                          counters,
                          replica,
                          freshness,
                          store,
                          store,
                          sourcePolicy,
                          [this] { ++this->recoveries; },
                          [this] { ++this->restorations; },
                          [this] {
                              ++this->updates;
                          } } };
};

}
