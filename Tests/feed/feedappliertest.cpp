#include "feed/feedapplier.h"

#include "core/manualclock.h"
#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FeedApplierTest)

namespace
{

/// Reads keys of the form "table/VERSION", "endpoint/ID" and "zone/ZONE".
class FakeDecoder : public FeedDecoder
{
public:
    FeedChange decode(const FeedEvent &event) const override
    {
        const std::string rest = event.key.substr(event.key.find('/') + 1);
        if (event.key.rfind("table/", 0) == 0) {
            RouteTableContent content;
            content.version = std::stoull(event.value);
            return RouteTableChange { RouteTable::create(content).value() };
        }
        if (event.key.rfind("zone/", 0) == 0) {
            return event.deleted ? FeedChange(ZoneEvacuationEnd { ZoneId(rest) })
                                 : FeedChange(ZoneEvacuation { ZoneId(rest) });
        }
        if (event.key.rfind("endpoint/", 0) != 0) {
            return IgnoredChange { "unknown" };
        }
        if (event.deleted) {
            return EndpointRemoval { EndpointId(rest) };
        }
        EndpointRecord record;
        record.id = EndpointId(rest);
        record.service = ServiceId("s");
        record.zone = ZoneId("z");
        return EndpointUpdate { record };
    }
};

struct Fixture : public ForwardingFixture
{
    void apply(const std::string &key, const std::string &value, bool deleted = false)
    {
        this->live.apply({ key, value, 1, deleted });
    }
    bool takesWork(const std::string &id)
    {
        const EndpointPtr endpoint = this->endpoints.find(EndpointId(id));
        return endpoint && this->endpoints.isAvailable(*endpoint);
    }

    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
    FakeDecoder decoder;
    FeedApplier live { { clock, clock, counters, decoder, endpoints, forwarder, quota } };
};

}

// Guards against a configuration that gives way to an older one.
BOOST_FIXTURE_TEST_CASE(olderTableIsIgnored, Fixture)
{
    this->apply("table/x", "7");
    this->apply("table/x", "5");
    BOOST_TEST(this->forwarder.table()->version() == 7U);
    this->apply("table/x", "9");
    BOOST_TEST(this->forwarder.table()->version() == 9U);
}

// Guards against work for an endpoint after its entry was removed.
BOOST_FIXTURE_TEST_CASE(removedEndpointGetsNoWork, Fixture)
{
    this->apply("endpoint/e", "");
    BOOST_TEST(this->takesWork("e"));
    this->apply("endpoint/e", "", true);
    BOOST_TEST(!this->takesWork("e"));
}

// Guards against lost service when entries lapsed because the store was away, and against endpoints that never return.
BOOST_FIXTURE_TEST_CASE(lapsedEndpointIsKeptForAWhile, Fixture)
{
    this->apply("endpoint/back", "");
    this->apply("endpoint/gone", "");
    this->live.storeRecovered();
    this->apply("endpoint/back", "", true);
    this->apply("endpoint/gone", "", true);
    BOOST_TEST(this->takesWork("back"));
    this->clock.advance(Milliseconds(1000));
    this->apply("endpoint/back", "");
    this->clock.advance(Milliseconds(1500));
    BOOST_TEST(this->takesWork("back"));
    BOOST_TEST(!this->takesWork("gone"));
}

// Guards against work in a zone that was taken out.
BOOST_FIXTURE_TEST_CASE(evacuatedZoneGetsNoWork, Fixture)
{
    this->apply("endpoint/e", "");
    this->apply("zone/z", "");
    BOOST_TEST(!this->takesWork("e"));
    this->apply("zone/z", "", true);
    BOOST_TEST(this->takesWork("e"));
}

// Guards against entries of other writers that go unnoticed.
BOOST_FIXTURE_TEST_CASE(ignoredEntriesAreCounted, Fixture)
{
    this->apply("other/x", "");
    BOOST_TEST(this->counters.value("lycheewall_feed_ignored_entries_total{reason=\"unknown\"}") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
