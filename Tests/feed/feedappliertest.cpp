#include "feed/feedapplier.h"

#include "core/manualclock.h"
#include "feed/feedreplica.h"
#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FeedApplierTest)

namespace
{

/// Decodes keys of the form "table/NAME" (the version is the value), "endpoint/ID" ("draining", or the start of the
/// process) and "zone/ZONE".
class FakeDecoder : public FeedDecoder
{
public:
    FeedChange decode(const FeedEvent &event) const override
    {
        const std::string name = event.key.substr(event.key.find('/') + 1);
        if (event.key.rfind("table/", 0) == 0) {
            RouteTableContent content;
            content.version = std::stoull(event.value);
            return RouteTableChange { RouteTable::create(content).value() };
        }
        if (event.key.rfind("zone/", 0) == 0) {
            return event.deleted ? FeedChange(ZoneEvacuationEnd { ZoneId(name) })
                                 : FeedChange(ZoneEvacuation { ZoneId(name) });
        }
        if (event.key.rfind("endpoint/", 0) != 0) {
            return IgnoredChange { "unknown" };
        }
        if (event.deleted) {
            return EndpointRemoval { EndpointId(name) };
        }
        EndpointRecord record;
        record.id = EndpointId(name);
        record.service = ServiceId("s");
        record.zone = ZoneId("z");
        record.draining = event.value == "draining";
        record.processStartMs = std::atoi(event.value.c_str());
        return EndpointUpdate { record };
    }
};

struct Fixture : public ForwardingFixture
{
    void apply(const std::string &key, const std::string &value, bool deleted = false)
    {
        this->feedApplier.apply({ key, value, 1, deleted });
    }
    bool isAvailable(const std::string &id)
    {
        const EndpointPtr endpoint = this->endpoints.find(EndpointId(id));
        return endpoint && endpoint->isAvailable();
    }

    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
    FakeDecoder decoder;
    FeedApplier feedApplier { { clock, clock, counters, decoder, endpoints, forwarder, quota } };
};

}

// Guards against a route table that is replaced by an older one.
BOOST_FIXTURE_TEST_CASE(olderTableIsIgnored, Fixture)
{
    this->apply("table/x", "7");
    this->apply("table/x", "5");
    BOOST_TEST(this->forwarder.table()->version() == 7U);
    this->apply("table/x", "9");
    BOOST_TEST(this->forwarder.table()->version() == 9U);
}

// Guards against requests to an endpoint after its entry was removed.
BOOST_FIXTURE_TEST_CASE(removedEndpointIsUnavailable, Fixture)
{
    this->apply("endpoint/e", "");
    BOOST_TEST(this->isAvailable("e"));
    this->apply("endpoint/e", "", true);
    BOOST_TEST(!this->isAvailable("e"));
}

// Guards against lost endpoints when their entries expired because the store was unavailable, and against endpoints
// that are kept although they never register again.
BOOST_FIXTURE_TEST_CASE(defersRemovalAfterOutage, Fixture)
{
    this->apply("endpoint/back", "");
    this->apply("endpoint/gone", "");
    this->feedApplier.storeRecovered();
    this->apply("endpoint/back", "", true);
    this->apply("endpoint/gone", "", true);
    BOOST_TEST(this->isAvailable("back"));
    this->clock.advance(Milliseconds(1000));
    this->apply("endpoint/back", "");
    this->clock.advance(Milliseconds(1500));
    BOOST_TEST(this->isAvailable("back"));
    BOOST_TEST(!this->isAvailable("gone"));
}

// Guards against requests to endpoints in an evacuated zone.
BOOST_FIXTURE_TEST_CASE(evacuatedZoneIsUnavailable, Fixture)
{
    this->apply("endpoint/e", "");
    this->apply("zone/z", "");
    BOOST_TEST(!this->isAvailable("e"));
    this->apply("zone/z", "", true);
    BOOST_TEST(this->isAvailable("e"));
}

// Guards against ignored entries, such as those of other writers, that go unnoticed.
BOOST_FIXTURE_TEST_CASE(ignoredEntriesAreCounted, Fixture)
{
    this->apply("other/x", "");
    BOOST_TEST(this->counters.value("lycheewall_feed_ignored_entries_total{reason=\"unknown\"}") == 1U);
}

// Guards against an older configuration, with a key that was withdrawn in the lost seconds, that comes into force when
// the store goes back.
BOOST_FIXTURE_TEST_CASE(restoredStoreDoesNotBringOlderTableBack, Fixture)
{
    FeedReplica replica;
    replica.setListener([this](const FeedEvent &event) { this->feedApplier.apply(event); });
    replica.replace({ { "table/x", "7", 20, false } }, { {}, 20 });
    this->feedApplier.storeRestored();
    replica.replace({ { "table/x", "6", 12, false } }, { StoreEra(1), 14 });
    BOOST_TEST(this->forwarder.table()->version() == 7U);
    replica.apply({ { { "table/x", "7", 15, false } }, { StoreEra(1), 15 }, {}, false });
    BOOST_TEST(this->forwarder.table()->version() == 7U);
    replica.apply({ { { "table/x", "8", 16, false } }, { StoreEra(1), 16 }, {}, false });
    BOOST_TEST(this->forwarder.table()->version() == 8U);
}

// Guards against requests into a zone whose evacuation the store has lost, and against a zone that stays evacuated
// although the operator does not request it again.
BOOST_FIXTURE_TEST_CASE(lostEvacuationContinuesUntilWrittenAgain, Fixture)
{
    for (const bool isWrittenAgain : { true, false }) {
        this->apply("endpoint/e", "");
        this->apply("zone/z", "");
        this->feedApplier.storeRestored();
        this->apply("zone/z", "", true);
        this->clock.advance(Milliseconds(1500));
        BOOST_TEST(!this->isAvailable("e"));
        if (isWrittenAgain) {
            this->apply("zone/z", "");
        }
        this->clock.advance(std::chrono::seconds(10));
        BOOST_TEST(this->isAvailable("e") == !isWrittenAgain);
    }
}

// Guards against requests to an endpoint whose drain, removal or new start the store has lost.
BOOST_FIXTURE_TEST_CASE(lostEndpointStatesContinueUntilWrittenAgain, Fixture)
{
    this->apply("endpoint/drains", "draining");
    this->apply("endpoint/restarted", "20");
    this->feedApplier.storeRestored();
    this->apply("endpoint/drains", "");
    this->apply("endpoint/restarted", "10");
    FeedEvent removedBefore { "endpoint/removed", "", 1, false };
    removedBefore.reappeared = true;
    this->feedApplier.apply(removedBefore);
    BOOST_TEST(!this->isAvailable("drains"));
    BOOST_TEST(!this->isAvailable("removed"));
    BOOST_TEST(this->endpoints.find(EndpointId("restarted"))->record.processStartMs == 20);
    this->clock.advance(Milliseconds(1000));
    this->apply("endpoint/drains", "draining");
    this->clock.advance(Milliseconds(3400));
    BOOST_TEST(!this->isAvailable("removed"));
    BOOST_TEST(this->endpoints.find(EndpointId("restarted"))->record.processStartMs == 20);
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(!this->isAvailable("drains"));
    // These were not written again, so the store is right.
    BOOST_TEST(this->isAvailable("removed"));
    BOOST_TEST(this->endpoints.find(EndpointId("restarted"))->record.processStartMs == 10);
}

// Guards against requests to an endpoint that has left without a drain, and keeps serving for a while. The store has
// lost its removal, and its entry expires in the store after three heartbeat intervals of 1200 ms.
BOOST_FIXTURE_TEST_CASE(lostRemovalContinuesUntilEntryExpires, Fixture)
{
    this->feedApplier.storeRestored();
    FeedEvent removedBefore { "endpoint/left", "", 1, false };
    removedBefore.reappeared = true;
    this->feedApplier.apply(removedBefore);
    this->clock.advance(Milliseconds(3700));
    BOOST_TEST(!this->isAvailable("left"));
    this->apply("endpoint/left", "", true);
    this->clock.advance(std::chrono::seconds(5));
    BOOST_TEST(!this->isAvailable("left"));
}

// Guards against the removal of endpoints that have registered again, when the store goes back once more and loses that
// too.
BOOST_FIXTURE_TEST_CASE(secondRestorationDefersAgain, Fixture)
{
    this->apply("endpoint/e", "");
    this->feedApplier.storeRestored();
    this->apply("endpoint/e", "", true);
    this->clock.advance(Milliseconds(2000));
    this->feedApplier.storeRestored();
    this->clock.advance(Milliseconds(2000));
    BOOST_TEST(this->isAvailable("e"));
    this->clock.advance(Milliseconds(300));
    BOOST_TEST(!this->isAvailable("e"));
}

// Guards against a deferred record that brings an endpoint back after its removal, when the timer is late.
BOOST_FIXTURE_TEST_CASE(removalEndsDeferredRecord, Fixture)
{
    this->apply("endpoint/e", "draining");
    this->feedApplier.storeRestored();
    this->apply("endpoint/e", "");
    this->clock.advanceWithoutTimers(std::chrono::seconds(3));
    this->apply("endpoint/e", "", true);
    this->clock.advance(Milliseconds(100));
    BOOST_TEST(!this->endpoints.find(EndpointId("e")));
}

BOOST_AUTO_TEST_SUITE_END()

}
