#include "feed/feedreader.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FeedReaderTest)

namespace
{

/// Time that the fake store's client waits beyond a watch.
constexpr Duration answerTime = Milliseconds(700);

/// A source whose answers the test decides. While silent it answers nothing, and requests end by their time-out.
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
        if (this->silent || this->failing) {
            this->later(this->silent ? Milliseconds(1500) : Milliseconds(1), [done, this] { done(this->error()); });
            return;
        }
        FeedPage page;
        page.revision = this->at;
        page.age = this->age;
        for (const FeedEvent &item : this->items) {
            if (item.key > afterKey && page.items.size() < this->pageSize) {
                page.items.push_back(item);
            }
        }
        page.hasMore = !page.items.empty() && page.items.back().key != this->items.back().key;
        this->later(Milliseconds(4), [done, page] { done(page); });
    }

    void watch(Revision after, Duration wait, std::function<void(Result<FeedBatch>)> done) override
    {
        ++this->calls;
        this->watching = done;
        if (this->silent) {
            this->watchTimer = this->clock.after(wait + answerTime, [this] { this->endWatch(this->error()); });
            return;
        }
        if (this->failing || after < this->historyStart) {
            const std::error_code reason = this->failing ? this->error() : make_error_code(FeedError::HistoryCompacted);
            this->watchTimer = this->clock.after(Milliseconds(1), [this, reason] { this->endWatch(reason); });
            return;
        }
        FeedBatch batch;
        batch.revision = this->at;
        batch.age = this->age;
        for (const FeedEvent &event : this->events) {
            if (event.revision > after) {
                batch.events.push_back(event);
            }
        }
        const Duration delay = batch.events.empty() ? wait : Duration(Milliseconds(4));
        this->watchTimer = this->clock.after(delay, [this, batch] { this->endWatch(batch); });
    }

    void cancel() override
    {
        if (this->watching) {
            this->watchTimer = this->clock.after(Duration::zero(), [this] { this->endWatch(this->error()); });
        }
    }

    void currentRevision(std::function<void(Result<Revision>)> done) override
    {
        ++this->calls;
        if (this->silent || this->failing) {
            this->later(this->silent ? Milliseconds(600) : Milliseconds(1), [done, this] { done(this->error()); });
            return;
        }
        this->later(Milliseconds(4), [done, at = this->at] { done(at); });
    }

    std::vector<FeedEvent> items;
    std::vector<FeedEvent> events;
    Revision at = 10;
    Revision historyStart = 0;
    Duration age {};
    std::size_t pageSize = 500;
    bool silent = false;
    bool failing = false;
    int calls = 0;

private:
    std::error_code error() const
    {
        return this->silent ? FeedError::TimedOut : FeedError::Unreachable;
    }
    void later(Duration delay, std::function<void()> action)
    {
        this->timers.push_back(this->clock.after(delay, std::move(action)));
    }
    void endWatch(const Result<FeedBatch> &batch)
    {
        const auto callback = std::move(this->watching);
        this->watching = nullptr;
        if (callback) {
            callback(batch);
        }
    }

    ManualClock &clock;
    std::vector<Subscription> timers;
    Subscription watchTimer;
    std::function<void(Result<FeedBatch>)> watching;
};

class FakeRoutes : public FeedSourcePolicy
{
public:
    bool shouldReadStore() const override
    {
        return this->reads;
    }
    std::vector<FeedPeer> candidatePeers() override
    {
        return this->known;
    }
    bool reads = true;
    std::vector<FeedPeer> known;
};

struct Fixture
{
    Fixture()
    {
        this->replica.setListener([this](const FeedEvent &event) { this->seen.push_back(event); });
        this->store.items = { { "a", "1", 3, false }, { "b", "2", 5, false } };
    }

    ManualClock clock;
    Counters counters;
    FeedReplica replica;
    FeedFreshness freshness { clock };
    FakeSource store { clock };
    FakeRoutes routes;
    std::vector<FeedEvent> seen;
    int returns = 0;
    int advances = 0;
    FeedReader reader { {},
                        { clock,
                          clock,
                          counters,
                          replica,
                          freshness,
                          store,
                          store,
                          routes,
                          [this] { ++this->returns; },
                          [this] {
                              ++this->advances;
                          } } };
};

}

// Guards against entries that are lost between the pages of a listing.
BOOST_FIXTURE_TEST_CASE(listsAllPages, Fixture)
{
    this->store.pageSize = 1;
    this->reader.start();
    this->clock.advance(Milliseconds(100));
    BOOST_TEST(this->replica.items().size() == 2U);
    BOOST_TEST(this->replica.revision() == 10U);
}

// Guards against requests refused for stale keys while the store is well and nothing changes.
BOOST_FIXTURE_TEST_CASE(staysFreshWithoutChanges, Fixture)
{
    this->reader.start();
    for (int step = 0; step < 100; ++step) {
        this->clock.advance(Milliseconds(100));
        if (step > 1) {
            BOOST_TEST((this->freshness.age() <= Milliseconds(1100)));
        }
    }
}

// Guards against followers whose knowledge grows old although this instance has confirmed its own.
BOOST_FIXTURE_TEST_CASE(tellsOfEachConfirmation, Fixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    const int before = this->advances;
    this->clock.advance(std::chrono::seconds(5));
    BOOST_TEST(this->advances - before >= 4);
}

// Guards against priced calls: an idle reader must need no more than about one call a second.
BOOST_FIXTURE_TEST_CASE(readsIdleStoreWithFewCalls, Fixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(20));
    BOOST_TEST(this->store.calls <= 30);
}

// Guards against a watch that waits on a silent connection long after the store is back (songlam-search trouble-3).
BOOST_FIXTURE_TEST_CASE(readsAgainSoonAfterSilence, Fixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    this->store.silent = true;
    this->clock.advance(Milliseconds(4600));
    this->store.silent = false;
    this->clock.advance(Milliseconds(2000));
    BOOST_TEST((this->freshness.age() <= Milliseconds(1500)));
    BOOST_TEST(this->returns >= 1);
}

// Guards against a storm of priced calls at a store that resets connections.
BOOST_FIXTURE_TEST_CASE(asksFailingStoreRarely, Fixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    this->store.failing = true;
    const int before = this->store.calls;
    this->clock.advance(std::chrono::seconds(5));
    BOOST_TEST(this->store.calls - before <= 15);
}

// Guards against service that ends on a machine that the store turns away while other instances are fresh.
BOOST_FIXTURE_TEST_CASE(followsPeerWhileStoreFails, Fixture)
{
    const auto peer = std::make_shared<FakeSource>(this->clock);
    peer->items = this->store.items;
    peer->age = Milliseconds(800);
    this->routes.known = { { InstanceId("peer"), peer } };
    this->reader.start();
    this->clock.advance(std::chrono::seconds(1));
    this->store.failing = true;
    for (int step = 0; step < 60; ++step) {
        this->clock.advance(Milliseconds(100));
        BOOST_TEST((this->freshness.age() <= Milliseconds(2500)));
    }
    peer->events = { { "c", "3", 12, false } };
    peer->at = 12;
    this->clock.advance(Milliseconds(1000));
    BOOST_TEST(this->replica.items().size() == 3U);
}

// Guards against a source that is behind and would take the replica back.
BOOST_FIXTURE_TEST_CASE(neverStepsBack, Fixture)
{
    this->reader.start();
    this->clock.advance(Milliseconds(500));
    this->replica.replace({ { "a", "0", 1, false } }, 4);
    BOOST_TEST(this->replica.items().size() == 2U);
    this->replica.apply({ { { "a", "0", 2, false } }, 4, {} });
    BOOST_TEST(this->replica.items().front().value == "1");
    BOOST_TEST(this->replica.revision() == 10U);
}

// Guards against entries that are kept although the history was dropped over their removal.
BOOST_FIXTURE_TEST_CASE(listsAgainWhenHistoryIsGone, Fixture)
{
    this->reader.start();
    this->clock.advance(Milliseconds(500));
    this->store.items = { { "b", "2", 5, false }, { "c", "3", 14, false } };
    this->store.at = 15;
    this->store.historyStart = 15;
    this->store.cancel();
    this->clock.advance(Milliseconds(1000));
    const auto items = this->replica.items();
    BOOST_REQUIRE(items.size() == 2U);
    BOOST_TEST(items.front().key == "b");
    BOOST_TEST(this->seen.back().key == "a");
    BOOST_TEST(this->seen.back().deleted);
}

BOOST_AUTO_TEST_SUITE_END()

}
