#include "feedreaderfixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(StoreRestorationTest)

namespace
{

/// A process that starts after the store has come back as era 1.
struct Fixture : FeedReaderFixture
{
    Fixture()
    {
        this->store.era = StoreEra(1);
        this->restoration.expectInstances();
    }

    void startFor(Duration time)
    {
        this->reader.start();
        this->clock.advance(time);
    }

    bool isAnyConfirmed() const
    {
        return this->freshness.age() != Duration::max();
    }

    StoreRestoration &restoration = reader.restoration();
};

}

// Guards against a new process that accepts a key whose withdrawal the store has lost, although others know of the
// loss; and against one that waits longer than they do.
BOOST_FIXTURE_TEST_CASE(newProcessWaitsAsOthersDo, Fixture)
{
    this->startFor(Milliseconds(20));
    this->restoration.restorationHeard({ StoreEra(1), Milliseconds(1500) });
    BOOST_TEST(!this->restoration.isAwaitingInstance());
    this->clock.advance(Milliseconds(1490));
    BOOST_TEST(!this->isAnyConfirmed());
    BOOST_TEST((this->freshness.replicaAge() <= std::chrono::seconds(1)));
    this->clock.advance(Milliseconds(100));
    BOOST_TEST((this->freshness.age() <= Milliseconds(100)));
}

// Guards against forgetting what arrives before the first listing, and against counting a listing of the copy that was
// confirmed before the others had noticed.
BOOST_FIXTURE_TEST_CASE(restorationIsHeardBeforeOrAfterTheListing, Fixture)
{
    this->restoration.restorationHeard({ StoreEra(1), Milliseconds(800) });
    this->startFor(Milliseconds(700));
    BOOST_TEST(!this->isAnyConfirmed());
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(this->isAnyConfirmed());
    this->restoration.restorationHeard({ StoreEra(1), Milliseconds(500) });
    BOOST_TEST(!this->isAnyConfirmed());
    this->clock.advance(Milliseconds(600));
    BOOST_TEST(this->isAnyConfirmed());
}

// Guards against accepting keys before another instance could say what is missing, and against waiting for one that
// does not exist.
BOOST_FIXTURE_TEST_CASE(newProcessAwaitsAnotherInstance, Fixture)
{
    this->startFor(Milliseconds(200));
    BOOST_TEST(this->restoration.isAwaitingInstance());
    BOOST_TEST(!this->isAnyConfirmed());
    // This one has not asked the store since it came back.
    this->restoration.instanceHeard(Milliseconds(250));
    BOOST_TEST(!this->isAnyConfirmed());
    const int earlierUpdates = this->updates;
    this->restoration.instanceHeard(Milliseconds(150));
    BOOST_TEST(this->isAnyConfirmed());
    BOOST_TEST(this->updates == earlierUpdates + 1);
}

// Guards against a wait beyond its bound, and against one that what others said before the listing ends.
BOOST_FIXTURE_TEST_CASE(awaitIsBounded, Fixture)
{
    this->restoration.instanceHeard(Milliseconds(0));
    this->startFor(Milliseconds(290));
    BOOST_TEST(this->restoration.isAwaitingInstance());
    this->clock.advance(Milliseconds(20));
    BOOST_TEST(!this->restoration.isAwaitingInstance());
    BOOST_TEST((this->freshness.age() <= Milliseconds(310)));
}

// Guards against a start that takes longer where the store names no era, or where no other instance is known.
BOOST_AUTO_TEST_CASE(othersStartAsBefore)
{
    Fixture withoutEra;
    withoutEra.store.era = StoreEra();
    withoutEra.restoration.restorationHeard({ StoreEra(1), std::chrono::seconds(2) });
    withoutEra.startFor(Milliseconds(10));
    BOOST_TEST(withoutEra.isAnyConfirmed());
    BOOST_TEST(!withoutEra.restoration.isAwaitingInstance());
    FeedReaderFixture alone;
    alone.store.era = StoreEra(1);
    alone.reader.start();
    alone.clock.advance(Milliseconds(10));
    BOOST_TEST((alone.freshness.age() <= Milliseconds(10)));
}

// Guards against instances that make each other wait again and again: by passing on what they heard, by a value that is
// too large, or by entering the era late.
BOOST_FIXTURE_TEST_CASE(waitIsNotProlonged, Fixture)
{
    this->startFor(Milliseconds(20));
    for (int step = 0; step < 300; ++step) {
        this->restoration.restorationHeard({ StoreEra(1), std::chrono::seconds(50) });
        BOOST_TEST(!this->restoration.noticedRestoration());
        this->clock.advance(Milliseconds(10));
    }
    BOOST_TEST((this->freshness.age() <= std::chrono::seconds(1)));
}

// Guards against an instance of the older era that gives up its data because others have entered the new one first, and
// against one that ends its own wait by what others say of an earlier rise.
BOOST_FIXTURE_TEST_CASE(ownRiseDecides, Fixture)
{
    this->startFor(std::chrono::seconds(3));
    this->restoration.restorationHeard({ StoreEra(1), Milliseconds(1900) });
    this->restoration.restorationHeard({ StoreEra(2), Milliseconds(1900) });
    BOOST_TEST(this->isAnyConfirmed());
    this->store.restore({ { "a", "1", 3, false } }, 4);
    while (this->restorations == 0) {
        this->clock.advance(Milliseconds(10));
    }
    const RestorationNotice notice = this->restoration.noticedRestoration().value();
    BOOST_TEST(notice.era == StoreEra(2));
    BOOST_TEST((notice.rewriteRemaining > Milliseconds(1900)));
    this->restoration.restorationHeard({ StoreEra(1), Milliseconds(300) });
    this->clock.advance(Milliseconds(1900));
    BOOST_TEST((this->freshness.age() >= Milliseconds(1900)));
    this->clock.advance(Milliseconds(200));
    BOOST_TEST((this->freshness.age() <= Milliseconds(200)));
    BOOST_TEST(!this->restoration.noticedRestoration());
}

// Guards against a second rise soon after the start whose wait ends with that of the first one, or with the wait for
// another instance.
BOOST_FIXTURE_TEST_CASE(secondRiseSoonAfterTheStart, Fixture)
{
    this->startFor(Milliseconds(20));
    this->store.restore({ { "a", "1", 3, false } }, 4);
    this->store.cancelUnanswered();
    while (this->restorations == 0) {
        this->clock.advance(Milliseconds(10));
    }
    const TimePoint noticedAt = this->clock.now();
    this->restoration.restorationHeard({ StoreEra(1), Milliseconds(300) });
    this->clock.advance(Milliseconds(1900) - (this->clock.now() - noticedAt));
    BOOST_TEST(!this->isAnyConfirmed());
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(this->isAnyConfirmed());
}

// Guards against a process that started shortly before a rise and gives up its data of the earlier era, before or after
// it has noticed the rise itself.
BOOST_FIXTURE_TEST_CASE(dataOfTheEarlierEraStayValid, Fixture)
{
    this->startFor(Milliseconds(500));
    this->store.restore({ { "a", "1", 3, false } }, 4);
    this->restoration.restorationHeard({ StoreEra(2), Milliseconds(2000) });
    BOOST_TEST(this->isAnyConfirmed());
    while (this->restorations == 0) {
        this->clock.advance(Milliseconds(10));
    }
    this->restoration.restorationHeard({ StoreEra(2), Milliseconds(1500) });
    BOOST_TEST(this->isAnyConfirmed());
}

// Guards against a process that has listed a copy and is told only of a second restoration that it has not noticed yet.
BOOST_FIXTURE_TEST_CASE(laterRestorationHidesTheEarlierOne, Fixture)
{
    this->startFor(Milliseconds(20));
    this->restoration.restorationHeard({ StoreEra(2), Milliseconds(1500) });
    this->clock.advance(Milliseconds(1000));
    BOOST_TEST(!this->isAnyConfirmed());
    Fixture earlier;
    earlier.restoration.restorationHeard({ StoreEra(2), Milliseconds(1500) });
    earlier.restoration.restorationHeard({ StoreEra(1), Milliseconds(1900) });
    earlier.startFor(Milliseconds(1000));
    BOOST_TEST(!earlier.isAnyConfirmed());
}

// Guards against counting a listing of the copy although the process has seen the era rise before its first listing was
// complete, and against doing so for a store that has only begun to name its era.
BOOST_FIXTURE_TEST_CASE(riseDuringFirstListingIsNoticed, FeedReaderFixture)
{
    this->store.era = StoreEra(1);
    this->store.pageSize = 1;
    this->reader.start();
    this->clock.advance(Milliseconds(2));
    this->store.restore(this->store.items, 4);
    this->clock.advance(Milliseconds(1900));
    BOOST_TEST(!this->replica.isEmpty());
    BOOST_TEST((this->freshness.age() == Duration::max()));
    BOOST_TEST(this->reader.restoration().noticedRestoration().has_value());
    this->clock.advance(Milliseconds(300));
    BOOST_TEST((this->freshness.age() <= Milliseconds(300)));
    FeedReaderFixture unnamed;
    unnamed.store.pageSize = 1;
    unnamed.reader.start();
    unnamed.clock.advance(Milliseconds(2));
    unnamed.store.restore(unnamed.store.items, 4);
    unnamed.clock.advance(Milliseconds(100));
    BOOST_TEST((unnamed.freshness.age() <= Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

}
