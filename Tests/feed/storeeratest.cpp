#include "feed/feedreaderfixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(StoreEraTest)

namespace
{

/// A revision check and the listing that it causes are over after this time.
constexpr Duration noticeTime = std::chrono::seconds(1);

struct Fixture : public FeedReaderFixture
{
    /// Starts the reader and lets it read the store for @p time.
    void startFor(Duration time)
    {
        this->reader.start();
        this->clock.advance(time);
        this->receivedEvents.clear();
    }
    FeedPosition position() const
    {
        return this->replica.position();
    }
    std::string valueOf(const std::string &key) const
    {
        for (const FeedEvent &item : this->replica.items()) {
            if (item.key == key) {
                return item.value;
            }
        }
        return {};
    }
};

FeedPosition at(std::uint64_t era, Revision revision)
{
    return { StoreEra(era), revision };
}

}

// Guards against refusing a store that has gone back until its revisions have caught up.
BOOST_FIXTURE_TEST_CASE(restoredStoreIsReadAtOnce, Fixture)
{
    this->startFor(std::chrono::seconds(2));
    this->store.restore({ { "a", "1", 3, false } }, 4);
    this->clock.advance(noticeTime);
    BOOST_TEST(this->position() == at(1, 4));
    BOOST_TEST(this->replica.items().size() == 1U);
    BOOST_REQUIRE(this->receivedEvents.size() == 1U);
    BOOST_TEST(this->receivedEvents.front().deleted);
    BOOST_TEST(this->restorations == 1);
    this->store.change({ "c", "3", 5, false }, false);
    this->clock.advance(noticeTime);
    BOOST_TEST(this->valueOf("c") == "3");
    BOOST_TEST((this->freshness.replicaAge() <= Milliseconds(1100)));
}

// Guards against removing the entries that the store has lost before the removals are deferred.
BOOST_FIXTURE_TEST_CASE(restorationIsReportedBeforeChanges, Fixture)
{
    this->startFor(std::chrono::seconds(2));
    std::vector<int> restorationsAtChanges;
    this->replica.setListener([&](const FeedEvent &) { restorationsAtChanges.push_back(this->restorations); });
    this->store.restore({}, 2);
    this->clock.advance(noticeTime);
    BOOST_TEST(restorationsAtChanges == (std::vector { 1, 1 }), boost::test_tools::per_element());
}

// Guards against changes that are lost because the new era has already given out the revision that a watch names.
BOOST_FIXTURE_TEST_CASE(revisionGivenOutAgainIsNotContinued, Fixture)
{
    this->startFor(std::chrono::seconds(2));
    this->store.restore({ { "a", "rewritten", 9, false }, { "c", "3", 12, false } }, 12);
    this->store.events = { { "c", "3", 12, false } };
    this->store.cancelUnanswered();
    this->clock.advance(Milliseconds(500));
    BOOST_TEST(this->position() == at(1, 12));
    BOOST_TEST(this->valueOf("a") == "rewritten");
    BOOST_TEST(this->valueOf("b").empty());
}

// Guards against a state that never existed: the first page of one era, the second of the next one.
BOOST_FIXTURE_TEST_CASE(eraRisesDuringListing, Fixture)
{
    this->store.pageSize = 1;
    this->reader.start();
    // The response with the first page is on its way.
    this->clock.advance(Milliseconds(2));
    this->store.restore({ { "b", "new", 4, false }, { "c", "3", 5, false } }, 5);
    this->clock.advance(Milliseconds(100));
    BOOST_TEST(this->position() == at(1, 5));
    BOOST_TEST(this->valueOf("a").empty());
    BOOST_TEST(this->replica.items().size() == 2U);
}

// Guards against old entries that come back with a higher revision from an instance that has not noticed the rise, and
// against its confirmations.
BOOST_FIXTURE_TEST_CASE(peerOfOlderEraIsRefused, Fixture)
{
    const auto peer = std::make_shared<FakeSource>(this->clock);
    peer->items = this->store.items;
    peer->events = { { "b", "stale", 50, false } };
    peer->latestRevision = 50;
    this->sourcePolicy.candidates = { { InstanceId("peer"), peer } };
    this->startFor(std::chrono::seconds(2));
    this->store.restore({ { "a", "1", 3, false } }, 4);
    this->clock.advance(noticeTime);
    this->store.failing = true;
    this->clock.advance(std::chrono::seconds(3));
    BOOST_TEST(this->position() == at(1, 4));
    BOOST_TEST(this->valueOf("b").empty());
    BOOST_TEST((this->freshness.replicaAge() >= std::chrono::seconds(2)));
    BOOST_TEST(this->counters.value("lycheewall_feed_failures_total{reason=\"old-era\"}") >= 1U);
    peer->restore({ { "a", "1", 3, false }, { "d", "4", 6, false } }, 6);
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(this->position() == at(1, 6));
    BOOST_TEST((this->freshness.replicaAge() <= std::chrono::seconds(1)));
}

// Guards against accepting a key whose withdrawal this instance has missed and the store has lost: the listing of the
// copy shows the key as valid until the operator writes the withdrawal again.
BOOST_FIXTURE_TEST_CASE(restoredCopyDoesNotConfirmKeys, Fixture)
{
    this->startFor(std::chrono::seconds(2));
    this->store.unresponsive = true;
    this->clock.advance(std::chrono::seconds(4));
    this->store.restore({ { "a", "1", 3, false } }, 4);
    this->store.unresponsive = false;
    const TimePoint restoredAt = this->clock.now();
    while (this->position() != at(1, 4) && this->clock.now() < restoredAt + std::chrono::seconds(3)) {
        this->clock.advance(Milliseconds(10));
    }
    this->clock.advance(Milliseconds(1900));
    BOOST_TEST((this->freshness.age() >= Milliseconds(5900)));
    BOOST_TEST((this->freshness.replicaAge() <= Milliseconds(1100)));
    // A check follows at once: each further moment, callers with valid keys may be refused.
    this->clock.advance(Milliseconds(300));
    BOOST_TEST((this->freshness.age() <= Milliseconds(300)));
}

// Guards against accepting such a key at an instance that reads from a peer whose data were confirmed last before the
// store came back.
BOOST_FIXTURE_TEST_CASE(agedCopyOfPeerDoesNotConfirmKeys, Fixture)
{
    const auto peer = std::make_shared<FakeSource>(this->clock);
    peer->items = this->store.items;
    peer->latestRevision = this->store.latestRevision;
    this->sourcePolicy.candidates = { { InstanceId("peer"), peer } };
    this->sourcePolicy.readsStoreNow = false;
    this->startFor(std::chrono::seconds(2));
    peer->age = Milliseconds(1500);
    peer->restore({ { "a", "1", 3, false } }, 4);
    for (int step = 0; step < 2000 && this->position() != at(1, 4); ++step) {
        this->clock.advance(Milliseconds(1));
    }
    BOOST_REQUIRE(this->position() == at(1, 4));
    peer->age = {};
    this->clock.advance(Milliseconds(1800));
    BOOST_TEST((this->freshness.age() >= Milliseconds(1800)));
}

// Guards against an instance that stays in the middle era when the store goes back again while it lists.
BOOST_FIXTURE_TEST_CASE(storeGoesBackTwice, Fixture)
{
    this->startFor(std::chrono::seconds(2));
    this->store.pageSize = 1;
    this->store.restore({ { "a", "1", 3, false }, { "x", "era 1", 7, false } }, 8);
    for (int step = 0; step < 1000 && this->counters.value("lycheewall_feed_era_changes_total") == 0U; ++step) {
        this->clock.advance(Milliseconds(1));
    }
    this->clock.advance(Milliseconds(2));
    this->store.restore({ { "a", "1", 3, false }, { "y", "era 2", 6, false } }, 6);
    this->clock.advance(Milliseconds(500));
    BOOST_TEST(this->position() == at(2, 6));
    BOOST_TEST(this->valueOf("x").empty());
    BOOST_TEST(this->valueOf("y") == "era 2");
}

// Guards against an instance that was cut off while the store went back twice, and continues from its old revision.
BOOST_FIXTURE_TEST_CASE(instanceIsCutOffMeanwhile, Fixture)
{
    this->startFor(std::chrono::seconds(2));
    this->store.unresponsive = true;
    this->clock.advance(std::chrono::seconds(2));
    this->store.restore({}, 5);
    this->clock.advance(std::chrono::seconds(1));
    this->store.restore({ { "b", "2", 11, false } }, 11);
    this->store.events = { { "b", "2", 11, false } };
    this->clock.advance(std::chrono::seconds(3));
    this->store.unresponsive = false;
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(this->position() == at(2, 11));
    BOOST_TEST(this->valueOf("a").empty());
    BOOST_TEST(this->restorations == 1);
    BOOST_TEST((this->freshness.replicaAge() <= Milliseconds(1500)));
}

// Guards against applying, and confirming by, a response that left the store before it went back.
BOOST_FIXTURE_TEST_CASE(watchResponseOfOlderEraArrivesLate, Fixture)
{
    this->startFor(Milliseconds(1600));
    this->store.responseTime = Milliseconds(600);
    this->store.change({ "b", "stale", 60, false }, false);
    this->store.isResponseArriving = true;
    this->store.responseTime = Milliseconds(4);
    this->store.restore({ { "b", "2", 5, false } }, 6);
    this->clock.advance(std::chrono::seconds(3));
    BOOST_TEST(this->position() == at(1, 6));
    BOOST_TEST(this->valueOf("b") == "2");
    for (const FeedEvent &event : this->receivedEvents) {
        BOOST_TEST(event.value != "stale");
    }
}

// Guards against listings in quick succession while the store names an older era than before, because calls are billed.
BOOST_FIXTURE_TEST_CASE(olderEraOfStoreBacksOff, Fixture)
{
    this->store.era = StoreEra(3);
    this->startFor(std::chrono::seconds(2));
    this->store.era = StoreEra(2);
    this->store.cancelUnanswered();
    const int earlier = this->store.calls;
    this->clock.advance(std::chrono::seconds(5));
    BOOST_TEST(this->store.calls - earlier <= 15);
    BOOST_TEST(this->position() == at(3, 10));
}

BOOST_AUTO_TEST_SUITE_END()

}
