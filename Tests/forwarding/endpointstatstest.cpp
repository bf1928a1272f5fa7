#include "forwarding/endpointchooser.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(EndpointStatsTest)

namespace
{

const TimePoint start { std::chrono::seconds(100) };
const Duration expected = Milliseconds(10);

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

}

// Guards against a pause of an endpoint that moves its work elsewhere for seconds: requests that were caught by the
// same pause count as one event, and one request in time clears the suspicion.
BOOST_AUTO_TEST_CASE(onePauseIsForgivenAfterOneProbe)
{
    EndpointStats stats;
    const auto first = stats.requestStarted(at(0), expected);
    const auto second = stats.requestStarted(at(5), expected);
    const auto third = stats.requestStarted(at(10), expected);
    stats.requestSucceeded(first, at(120));
    stats.requestSucceeded(second, at(121));
    stats.requestSucceeded(third, at(122));
    BOOST_TEST(stats.isSuspect(at(123)));
    BOOST_TEST(!stats.isSuspect(at(190)));
    const auto probe = stats.requestStarted(at(190), expected);
    BOOST_TEST(stats.isSuspect(at(191)));
    stats.requestSucceeded(probe, at(200));
    BOOST_TEST(!stats.isSuspect(at(201)));
    BOOST_TEST(stats.slowness() == 1);
}

// Guards against a slow endpoint that gets work again and again: each late probe doubles the time to the next.
BOOST_AUTO_TEST_CASE(slowEndpointIsProbedMoreAndMoreRarely)
{
    EndpointStats stats;
    int now = 0;
    int probes = 0;
    while (now < 8000) {
        if (!stats.isSuspect(at(now))) {
            const auto probe = stats.requestStarted(at(now), expected);
            now += 80;
            stats.requestSucceeded(probe, at(now));
            ++probes;
        }
        ++now;
    }
    BOOST_TEST(probes <= 10);
    BOOST_TEST(stats.slowness() > 4);
}

// Guards against a busy endpoint that is taken for a slow one.
BOOST_AUTO_TEST_CASE(queueIsNoSlowness)
{
    EndpointStats stats;
    const auto request = stats.requestStarted(at(0), 5 * expected);
    stats.requestSucceeded(request, at(60));
    BOOST_TEST(!stats.isSuspect(at(61)));
}

// Guards against requests that go to an endpoint which fails each of them.
BOOST_AUTO_TEST_CASE(failuresInRowAreAvoided)
{
    EndpointStats stats;
    for (int failure = 0; failure < 3; ++failure) {
        stats.requestFailed(stats.requestStarted(at(failure), expected), at(failure));
    }
    BOOST_TEST(stats.isEjected(at(10)));
    BOOST_TEST(!stats.isEjected(at(5000)));
    BOOST_TEST(stats.failureRatio(at(10)) > 0.4);
}

// Guards against choices of another zone while the own one is as good, and against waiting for a stalled endpoint.
BOOST_AUTO_TEST_CASE(chooserPrefersOwnZoneUnlessItStalls)
{
    EndpointSet endpoints;
    for (const char *zone : { "here", "there" }) {
        EndpointRecord record;
        record.id = EndpointId(zone);
        record.service = ServiceId("s");
        record.zone = ZoneId(zone);
        record.slots = 2;
        endpoints.addOrUpdate(record, start);
    }
    Random random(1);
    const EndpointChooser chooser(endpoints, ZoneId("here"), random);
    const EndpointCriteria request { ServiceId("s"), expected, {} };
    BOOST_TEST((chooser.choose(request, at(0))->record.id == EndpointId("here")));
    endpoints.find(EndpointId("here"))->stats.requestStarted(at(0), expected);
    BOOST_TEST((chooser.choose(request, at(10))->record.id == EndpointId("here")));
    BOOST_TEST((chooser.choose(request, at(60))->record.id == EndpointId("there")));
}

// Guards against new work for endpoints that drain, are gone or are in an evacuated zone.
BOOST_AUTO_TEST_CASE(chooserSkipsEndpointsThatTakeNoWork)
{
    EndpointSet endpoints;
    EndpointRecord record;
    record.id = EndpointId("e");
    record.service = ServiceId("s");
    record.zone = ZoneId("here");
    endpoints.addOrUpdate(record, start);
    Random random(1);
    const EndpointChooser chooser(endpoints, ZoneId("here"), random);
    const EndpointCriteria request { ServiceId("s"), expected, {} };
    BOOST_TEST(chooser.choose(request, at(0)));
    endpoints.setEvacuatedZones({ ZoneId("here") });
    BOOST_TEST(!chooser.choose(request, at(0)));
    endpoints.setEvacuatedZones({});
    record.draining = true;
    endpoints.addOrUpdate(record, start);
    BOOST_TEST(!chooser.choose(request, at(0)));
    endpoints.remove(record.id);
    BOOST_TEST(!chooser.choose(request, at(0)));
}

// Guards against statistics of an ended process that are held against a new one under the same id.
BOOST_AUTO_TEST_CASE(newProcessStartsAfresh)
{
    EndpointSet endpoints;
    EndpointRecord record;
    record.id = EndpointId("e");
    record.service = ServiceId("s");
    record.processStartMs = 1;
    endpoints.addOrUpdate(record, start);
    endpoints.find(record.id)->stats.requestStarted(at(0), expected);
    endpoints.addOrUpdate(record, start);
    BOOST_TEST(endpoints.find(record.id)->stats.inFlight() == 1);
    record.processStartMs = 2;
    endpoints.addOrUpdate(record, start);
    BOOST_TEST(endpoints.find(record.id)->stats.inFlight() == 0);
}

// Guards against probes of a slow endpoint by each instance at once, against old news, and against hearsay that is
// passed on as an observation.
BOOST_AUTO_TEST_CASE(slownessFoundElsewhereHoldsProbesBack)
{
    EndpointStats stats;
    stats.applySlowReport(6, at(0), at(2000));
    BOOST_TEST(stats.isSuspect(at(1900)));
    BOOST_TEST(!stats.isSuspect(at(2001)));
    BOOST_TEST(stats.slowness() >= 5.9);
    BOOST_TEST(!stats.locallyObservedSlowness(at(10)));
    const auto probe = stats.requestStarted(at(2010), expected);
    stats.requestSucceeded(probe, at(2020));
    BOOST_TEST(!stats.isSuspect(at(2021)));
    stats.applySlowReport(6, at(2005), at(4000));
    BOOST_TEST(!stats.isSuspect(at(2030)));
}

// Guards against an endpoint that is told to be slow because it paused for a moment.
BOOST_AUTO_TEST_CASE(onlyLastingSlownessIsTold)
{
    EndpointStats stats;
    int moment = 0;
    for (int probe = 0; probe < 3; ++probe) {
        BOOST_TEST(!stats.locallyObservedSlowness(at(moment)));
        const auto token = stats.requestStarted(at(moment), expected);
        moment += 100;
        stats.requestSucceeded(token, at(moment));
        moment += 300;
    }
    BOOST_TEST(stats.locallyObservedSlowness(at(moment)).has_value());
    BOOST_TEST(!stats.locallyObservedSlowness(at(moment + 1000)));
}

BOOST_AUTO_TEST_SUITE_END()

}
