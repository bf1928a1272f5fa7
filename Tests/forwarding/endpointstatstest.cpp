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

// Guards against a brief pause of an endpoint that diverts its requests to other endpoints for seconds. Requests that
// were delayed by the same pause count as one late event, and one response on time clears the suspicion.
BOOST_AUTO_TEST_CASE(onTimeProbeClearsSuspicion)
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

// Guards against a slow endpoint that receives requests again and again: each late probe doubles the interval to the
// next one.
BOOST_AUTO_TEST_CASE(probeIntervalDoublesWhileSlow)
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

// Guards against a busy endpoint that is taken for a slow one: its queue is part of the expected latency.
BOOST_AUTO_TEST_CASE(queueingDelayDoesNotRaiseSuspicion)
{
    EndpointStats stats;
    const auto request = stats.requestStarted(at(0), 5 * expected);
    stats.requestSucceeded(request, at(60));
    BOOST_TEST(!stats.isSuspect(at(61)));
}

// Guards against requests that are still sent to an endpoint after several consecutive failures.
BOOST_AUTO_TEST_CASE(consecutiveFailuresEjectEndpoint)
{
    EndpointStats stats;
    for (int failure = 0; failure < 3; ++failure) {
        stats.requestFailed(stats.requestStarted(at(failure), expected), at(failure));
    }
    BOOST_TEST(stats.isEjected(at(10)));
    BOOST_TEST(!stats.isEjected(at(5000)));
    BOOST_TEST(stats.failureRatio(at(10)) > 0.4);
}

// Guards against requests to another zone while an equally good endpoint exists in the own zone, and against new
// requests to a stalled endpoint.
BOOST_AUTO_TEST_CASE(prefersOwnZoneUnlessEndpointStalls)
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

// Guards against new requests to endpoints that are draining, removed or in an evacuated zone.
BOOST_AUTO_TEST_CASE(skipsUnavailableEndpoints)
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

// Guards against statistics of a terminated process that are applied to a new process under the same id.
BOOST_AUTO_TEST_CASE(endpointRestartResetsStatistics)
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

// Guards against simultaneous probes of a slow endpoint by all instances, against reports that are older than a
// response on time, and against reports of other instances that are passed on as own observations.
BOOST_AUTO_TEST_CASE(remoteSlowReportDelaysProbes)
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

// Guards against an endpoint that is reported as slow because of a brief pause.
BOOST_AUTO_TEST_CASE(reportsOnlyPersistentSlowness)
{
    EndpointStats stats;
    int nowMs = 0;
    for (int probe = 0; probe < 3; ++probe) {
        BOOST_TEST(!stats.locallyObservedSlowness(at(nowMs)));
        const auto token = stats.requestStarted(at(nowMs), expected);
        nowMs += 100;
        stats.requestSucceeded(token, at(nowMs));
        nowMs += 300;
    }
    BOOST_TEST(stats.locallyObservedSlowness(at(nowMs)).has_value());
    BOOST_TEST(!stats.locallyObservedSlowness(at(nowMs + 1000)));
}

BOOST_AUTO_TEST_SUITE_END()

}
