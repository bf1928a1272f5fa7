#include "feed/feedreaderfixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FeedReaderTest)

namespace
{

/// Another instance at the end of a slow link. A response that takes longer than the limit is not received.
class SlowSource : public FeedSource
{
public:
    explicit SlowSource(ManualClock &manualClock)
        : clock(manualClock)
    {
    }

    void list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done) override
    {
        this->respond<FeedPage>(this->replica.listAfter(afterKey, responseBytes), std::move(done));
    }
    void watch(FeedPosition after, Duration /*timeout*/, std::function<void(Result<FeedBatch>)> done) override
    {
        this->respond<FeedBatch>(this->replica.changesAfter(after, responseBytes), std::move(done));
    }
    void cancelUnanswered() override
    {
    }

    FeedReplica replica;

private:
    static constexpr std::size_t responseBytes = std::size_t { 128 } * 1024;
    static constexpr double linkBytesPerSecond = 400'000;
    static constexpr Duration transferLimit = Milliseconds(900);

    template<typename Content> void respond(const Result<Content> &content, std::function<void(Result<Content>)> done)
    {
        std::size_t bytes = 0;
        for (const FeedEvent &event : eventsOf(content)) {
            bytes += event.value.size();
        }
        const Duration transfer = fromSeconds(static_cast<double>(bytes) / linkBytesPerSecond);
        const bool isReceived = transfer <= transferLimit;
        this->timers.push_back(
            this->clock.after(isReceived ? transfer : transferLimit, [isReceived, content, done = std::move(done)] {
                done(isReceived ? content : Result<Content>(make_error_code(FeedError::TimedOut)));
            }));
    }
    static std::vector<FeedEvent> eventsOf(const Result<FeedPage> &page)
    {
        return page ? page.value().items : std::vector<FeedEvent>();
    }
    static std::vector<FeedEvent> eventsOf(const Result<FeedBatch> &batch)
    {
        return batch ? batch.value().events : std::vector<FeedEvent>();
    }

    ManualClock &clock;
    std::vector<Subscription> timers;
};

}

// Guards against entries that are lost between two pages of a listing.
BOOST_FIXTURE_TEST_CASE(listsAllPages, FeedReaderFixture)
{
    this->store.pageSize = 1;
    this->reader.start();
    this->clock.advance(Milliseconds(100));
    BOOST_TEST(this->replica.items().size() == 2U);
    BOOST_TEST(this->replica.position().revision == 10U);
}

// Guards against requests that are refused because of stale feed data while the store is available and nothing changes.
BOOST_FIXTURE_TEST_CASE(staysFreshWithoutChanges, FeedReaderFixture)
{
    this->reader.start();
    for (int step = 0; step < 100; ++step) {
        this->clock.advance(Milliseconds(100));
        if (step > 1) {
            BOOST_TEST((this->freshness.age() <= Milliseconds(1100)));
        }
    }
}

// Guards against stale feed data on instances that read from this one, although this one has confirmed its own data.
BOOST_FIXTURE_TEST_CASE(reportsEachConfirmation, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    const int earlier = this->updates;
    this->clock.advance(std::chrono::seconds(5));
    BOOST_TEST(this->updates - earlier >= 4);
}

// Guards against unnecessary calls, which are billed: an idle reader must make no more than about one call per second.
BOOST_FIXTURE_TEST_CASE(idleReaderMakesFewStoreCalls, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(20));
    BOOST_TEST(this->store.calls <= 30);
}

// Guards against a watch that waits on an unresponsive connection long after the store is available again
// (songlam-search trouble-3).
BOOST_FIXTURE_TEST_CASE(resumesSoonAfterUnresponsiveStore, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    this->store.unresponsive = true;
    this->clock.advance(Milliseconds(4600));
    this->store.unresponsive = false;
    this->clock.advance(Milliseconds(2000));
    BOOST_TEST((this->freshness.age() <= Milliseconds(1500)));
    BOOST_TEST(this->recoveries >= 1);
}

// Guards against an old configuration that stays in use for seconds because the response that reports the new one is
// lost, while the store answers everything else.
BOOST_FIXTURE_TEST_CASE(changeArrivesSoonAfterItsResponseIsLost, FeedReaderFixture)
{
    constexpr Duration maxDelay = std::chrono::seconds(3);
    this->reader.start();
    this->clock.advance(Milliseconds(2050));
    Revision revision = 12;
    // At different times after a check.
    for (int repetition = 0; repetition < 12; ++repetition) {
        this->store.change({ "c", std::to_string(revision), revision, false }, true);
        this->clock.advance(maxDelay);
        BOOST_TEST(this->replica.position().revision == revision);
        this->clock.advance(Milliseconds(10'070));
        ++revision;
    }
}

// Guards against giving up the requests to a store that is slow: each would be sent again and answered too late again.
BOOST_FIXTURE_TEST_CASE(slowResponseIsNotTakenForLost, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(Milliseconds(2050));
    this->store.responseTime = Milliseconds(350);
    Revision revision = 12;
    for (int repetition = 0; repetition < 12; ++repetition) {
        this->store.change({ "c", std::to_string(revision), revision, false }, false);
        this->clock.advance(Milliseconds(1070));
        BOOST_TEST(this->replica.position().revision == revision);
        ++revision;
    }
    BOOST_TEST(this->counters.counter("lycheewall_feed_overdue_responses_total").value() == 0U);
}

// Guards against removing endpoints whose entries expired during an outage: they are about to register again. The
// removals may arrive before the first check.
BOOST_FIXTURE_TEST_CASE(recoveryIsReportedBeforeChanges, FeedReaderFixture)
{
    std::vector<int> recoveriesAtChanges;
    this->replica.setListener([&](const FeedEvent &) { recoveriesAtChanges.push_back(this->recoveries); });
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    recoveriesAtChanges.clear();
    const int earlierRecoveries = this->recoveries;
    this->store.unresponsive = true;
    this->clock.advance(Milliseconds(4600));
    this->store.events = { { "a", "", 12, true } };
    this->store.latestRevision = 12;
    this->store.unresponsive = false;
    this->clock.advance(Milliseconds(2000));
    BOOST_REQUIRE(recoveriesAtChanges.size() == 1U);
    BOOST_TEST(recoveriesAtChanges.front() > earlierRecoveries);
}

// Guards against a flood of calls, which are billed, to a store that resets connections.
BOOST_FIXTURE_TEST_CASE(backsOffFromFailingStore, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(std::chrono::seconds(2));
    this->store.failing = true;
    const int earlier = this->store.calls;
    this->clock.advance(std::chrono::seconds(5));
    BOOST_TEST(this->store.calls - earlier <= 15);
}

// Guards against an instance that stops serving because the store rejects it, while other instances have fresh data.
BOOST_FIXTURE_TEST_CASE(followsPeerWhileStoreFails, FeedReaderFixture)
{
    const auto peer = std::make_shared<FakeSource>(this->clock);
    peer->items = this->store.items;
    peer->age = Milliseconds(800);
    this->sourcePolicy.candidates = { { InstanceId("peer"), peer } };
    this->reader.start();
    this->clock.advance(std::chrono::seconds(1));
    this->store.failing = true;
    for (int step = 0; step < 60; ++step) {
        this->clock.advance(Milliseconds(100));
        BOOST_TEST((this->freshness.age() <= Milliseconds(2500)));
    }
    peer->events = { { "c", "3", 12, false } };
    peer->latestRevision = 12;
    this->clock.advance(Milliseconds(1000));
    BOOST_TEST(this->replica.items().size() == 3U);
}

// Guards against a source with older data that moves the replica backwards.
BOOST_FIXTURE_TEST_CASE(ignoresOlderData, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(Milliseconds(500));
    this->replica.replace({ { "a", "0", 1, false } }, { {}, 4 });
    BOOST_TEST(this->replica.items().size() == 2U);
    this->replica.apply({ { { "a", "0", 2, false } }, { {}, 4 }, {} });
    BOOST_TEST(this->replica.items().front().value == "1");
    BOOST_TEST(this->replica.position().revision == 10U);
}

// Guards against removed entries that are kept because the store no longer has the history with their removal.
BOOST_FIXTURE_TEST_CASE(listsAgainAfterHistoryCompaction, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(Milliseconds(500));
    this->store.items = { { "b", "2", 5, false }, { "c", "3", 14, false } };
    this->store.latestRevision = 15;
    this->store.historyStart = 15;
    this->store.cancelUnanswered();
    this->clock.advance(Milliseconds(1000));
    const auto items = this->replica.items();
    BOOST_REQUIRE(items.size() == 2U);
    BOOST_TEST(items.front().key == "b");
    BOOST_TEST(this->receivedEvents.back().key == "a");
    BOOST_TEST(this->receivedEvents.back().deleted);
}

// Guards against repeating a watch whose response is larger than the limit, with the same result each time.
BOOST_FIXTURE_TEST_CASE(listsAgainAfterTooLargeResponse, FeedReaderFixture)
{
    this->reader.start();
    this->clock.advance(Milliseconds(500));
    this->store.items.push_back({ "c", "3", 14, false });
    this->store.latestRevision = 15;
    this->store.areWatchesTooLarge = true;
    this->store.cancelUnanswered();
    this->clock.advance(Milliseconds(1000));
    BOOST_TEST(this->replica.items().size() == 3U);
}

// Guards against an instance that falls behind while the configuration changes often, and then requests more with each
// read than its link can transfer in time: it would never have a current configuration again.
BOOST_FIXTURE_TEST_CASE(slowReaderCatchesUpAfterManyChanges, FeedReaderFixture)
{
    const auto peer = std::make_shared<SlowSource>(this->clock);
    const std::string configuration(60'000, 'c');
    Revision revision = 10;
    peer->replica.replace({ { "config", configuration, 3, false } }, { {}, revision });
    this->sourcePolicy.readsStoreNow = false;
    this->sourcePolicy.candidates = { { InstanceId("peer"), peer } };
    this->reader.start();
    this->clock.advance(std::chrono::seconds(1));
    BOOST_REQUIRE(this->replica.position().revision == revision);
    // 50 versions arrive while the instance is paused, and further ones while it catches up.
    const auto changeConfiguration = [&] {
        ++revision;
        peer->replica.apply(
            { { { "config", configuration + std::to_string(revision), revision, false } }, { {}, revision }, {} });
    };
    for (int version = 0; version < 50; ++version) {
        changeConfiguration();
    }
    for (int step = 0; step < 20; ++step) {
        this->clock.advance(Milliseconds(250));
        changeConfiguration();
    }
    BOOST_TEST(this->replica.position().revision + 8 >= revision);
    BOOST_TEST((this->freshness.age() <= Milliseconds(1500)));
}

// Guards against feed data that appears current although the source has further changes for this instance.
BOOST_FIXTURE_TEST_CASE(incompleteBatchDoesNotConfirmFreshness, FeedReaderFixture)
{
    const auto peer = std::make_shared<SlowSource>(this->clock);
    peer->replica.replace({}, { {}, 10 });
    this->sourcePolicy.readsStoreNow = false;
    this->sourcePolicy.candidates = { { InstanceId("peer"), peer } };
    this->reader.start();
    this->clock.advance(Milliseconds(200));
    const auto confirmedUntil = this->freshness.confirmedUntil();
    for (Revision revision = 11; revision < 15; ++revision) {
        peer->replica.apply({ { { "key-" + std::to_string(revision), std::string(100'000, 'v'), revision, false } },
                              { {}, revision },
                              {} });
    }
    while (this->replica.position().revision < 14) {
        this->clock.advance(Milliseconds(10));
        if (this->replica.position().revision < 14 && this->replica.position().revision > 10) {
            BOOST_TEST((this->freshness.confirmedUntil() <= *confirmedUntil + Milliseconds(300)));
        }
    }
    BOOST_TEST(this->replica.items().size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}
