#include "feed/feedapplier.h"

#include "core/manualclock.h"
#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FeedApplierTest)

namespace
{

/// Decodes keys of the form "table/NAME" (the version is the value), "endpoint/ID" and "zone/ZONE".
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

BOOST_AUTO_TEST_SUITE_END()

}
