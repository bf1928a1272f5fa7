#include "forwarding/endpointchooser.h"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(LoadEstimateTest)

namespace
{

const TimePoint start { std::chrono::seconds(100) };
const Duration typical = Milliseconds(20);
const ServiceId service("s");

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

LoadReport reportOf(std::optional<double> workFactor)
{
    return { 1, 0, 4, workFactor };
}

/// Two endpoints of one service in the zone of the chooser.
struct Fixture
{
    Fixture()
    {
        this->endpoints.setCounters(this->counters);
        for (const char *id : { "a", "b" }) {
            EndpointRecord record;
            record.id = EndpointId(id);
            record.service = service;
            record.zone = ZoneId("here");
            record.slots = 4;
            this->endpoints.addOrUpdate(record, start);
        }
    }

    ServiceEndpoint &endpoint(const char *id)
    {
        return *this->endpoints.find(EndpointId(id));
    }

    /// A request to endpoint "a" that takes @p latencyMs; the response reports @p workFactor.
    void respond(int startMs, int latencyMs, std::optional<double> workFactor)
    {
        EndpointStats &stats = this->endpoint("a").stats;
        const auto token
            = stats.requestStarted(at(startMs), EndpointChooser::nominalLatency(endpoint("a"), typical, at(startMs)));
        stats.updateLoad(reportOf(workFactor), at(startMs + latencyMs));
        stats.requestSucceeded(token, at(startMs + latencyMs));
    }

    std::string choose(int nowMs)
    {
        return this->chooser.choose({ service, typical, {} }, at(nowMs))->record.id.value();
    }

    std::uint64_t count(const char *event) const
    {
        return this->counters.value(std::string("lycheewall_endpoint_load_") + event + "_total");
    }

    Counters counters;
    EndpointSet endpoints;
    Random random { 1 };
    EndpointChooser chooser { endpoints, ZoneId("here"), random };
};

}

// Guards against requests to an endpoint that says that work takes longer there, and against suspicion of it: it is as
// slow as it says.
BOOST_FIXTURE_TEST_CASE(slowEndpointThatSaysSoIsExpensiveNotSuspect, Fixture)
{
    this->respond(0, 20, 3);
    this->respond(25, 62, 3);
    this->respond(90, 62, 3);
    BOOST_TEST(!this->endpoint("a").stats.isSuspect(at(153)));
    BOOST_TEST(this->endpoint("a").stats.workFactor(at(153)) > 2);
    BOOST_TEST((EndpointChooser::estimatedLatency(this->endpoint("a"), typical, at(153)) > 2 * typical));
    BOOST_TEST(this->choose(153) == "b");
    BOOST_TEST(this->count("reports") == 3U);
}

// Guards against a shard that is waited for although all its endpoints say that they are slow, and against one that is
// left out although one endpoint is not.
BOOST_FIXTURE_TEST_CASE(shardIsAsFastAsItsFastestEndpoint, Fixture)
{
    this->endpoint("a").stats.updateLoad(reportOf(5), at(0));
    BOOST_TEST((this->chooser.lowestEstimatedLatency(service, typical, at(0)).value() < 1.3 * typical));
    this->endpoint("b").stats.updateLoad(reportOf(5), at(0));
    BOOST_TEST((this->chooser.lowestEstimatedLatency(service, typical, at(0)).value() > 3 * typical));
}

// Guards against a choice that the reports have changed and that no counter shows.
BOOST_FIXTURE_TEST_CASE(countsChoicesThatReportsHaveChanged, Fixture)
{
    this->endpoint("b").stats.requestStarted(at(-1), typical);
    BOOST_TEST(this->choose(0) == "a");
    BOOST_TEST(this->count("choices_changed") == 0U);
    this->respond(0, 60, 3);
    BOOST_TEST(this->choose(0) == "b");
    BOOST_TEST(this->count("choices_changed") == 1U);
}

// Guards against suspicion of an endpoint whose response explains why it is late.
BOOST_FIXTURE_TEST_CASE(reportWithLateResponseExplainsIt, Fixture)
{
    this->respond(0, 90, 4);
    BOOST_TEST(!this->endpoint("a").stats.isSuspect(at(91)));
    BOOST_TEST(this->endpoint("a").stats.workFactor(at(91)) > 3);
}

// Guards against reports that are believed more than responses: an endpoint that says that all is as usual is suspect
// once it is late.
BOOST_FIXTURE_TEST_CASE(lateEndpointIsSuspectWhateverItReports, Fixture)
{
    this->respond(0, 20, 1);
    this->respond(30, 200, 1);
    BOOST_TEST(this->endpoint("a").stats.isSuspect(at(231)));
    BOOST_TEST((EndpointChooser::estimatedLatency(this->endpoint("a"), typical, at(231)) > 5 * typical));
}

// Guards against an endpoint that says that it is slow, is on time, and gets no requests. Its reports are ignored for a
// time, and are then checked again.
BOOST_FIXTURE_TEST_CASE(contradictedReportsAreIgnoredForATime, Fixture)
{
    for (int request = 0; request < 6; ++request) {
        this->respond(request * 30, 20, 4);
    }
    BOOST_TEST(this->count("distrusts") == 1U);
    BOOST_TEST(this->endpoint("a").stats.workFactor(at(200)) < 1.5);
    this->respond(10'300, 20, 4);
    BOOST_TEST(this->endpoint("a").stats.workFactor(at(10'321)) > 2);
}

// Guards against an old report that decides as if it were new, and against an endpoint that is never tried again.
BOOST_FIXTURE_TEST_CASE(reportCountsForLessWithItsAge, Fixture)
{
    this->respond(0, 60, 3);
    const EndpointStats &stats = this->endpoint("a").stats;
    BOOST_TEST(stats.workFactor(at(61)) > 2.7);
    BOOST_TEST(stats.workFactor(at(400)) < stats.workFactor(at(61)));
    BOOST_TEST(stats.workFactor(at(10'000)) < 1.05);
}

// Guards against a fixed time for which reports count: factors that change briefly are forgotten soon, lasting ones are
// not.
BOOST_AUTO_TEST_CASE(learnsHowLongFactorsLast)
{
    const auto persistenceAfter = [](int periodMs) {
        EndpointLoadModel model;
        for (int now = 0; now < 60'000; now += 80) {
            const auto deviation = [periodMs](int time) {
                return time / periodMs % 2 == 0 ? 1.0 : -1.0;
            };
            model.recordChange(deviation(now), deviation(now + 80), Milliseconds(80));
        }
        return model.persistence(Milliseconds(80));
    };
    BOOST_TEST(persistenceAfter(5000) > 0.9);
    BOOST_TEST(persistenceAfter(160) < 0.1);
}

// Guards against latencies that count a slowdown twice: when all endpoints report the same factor, recent latencies
// contain it.
BOOST_FIXTURE_TEST_CASE(commonFactorIsPartOfTypicalLatency, Fixture)
{
    EndpointStats &stats = this->endpoint("a").stats;
    for (int report = 0; report < 1500; ++report) {
        stats.updateLoad(reportOf(2), at(report));
    }
    BOOST_TEST(stats.workFactor(at(1500)) < 1.1);
    stats.updateLoad(reportOf(4), at(1500));
    BOOST_TEST(stats.workFactor(at(1500)) > 1.8);
}

// Guards against one report that makes an endpoint seem useless or free of cost.
BOOST_FIXTURE_TEST_CASE(factorsAreBelievedWithinBounds, Fixture)
{
    EndpointStats &stats = this->endpoint("a").stats;
    stats.updateLoad(reportOf(900), at(0));
    BOOST_TEST(stats.workFactor(at(0)) <= 10);
    stats.updateLoad(reportOf(0.001), at(1));
    BOOST_TEST(stats.workFactor(at(1)) >= 0.2);
}

// Guards against an endpoint that is steadily faster or slower than its peers and is treated like them.
BOOST_FIXTURE_TEST_CASE(learnsSpeedOfUnevenEndpoints, Fixture)
{
    for (int request = 0; request < 60; ++request) {
        this->respond(request * 100, 28, 1);
        EndpointStats &other = this->endpoint("b").stats;
        const auto token = other.requestStarted(
            at(request * 100 + 50), EndpointChooser::nominalLatency(endpoint("b"), typical, at(request * 100 + 50)));
        other.updateLoad(reportOf(1), at(request * 100 + 70));
        other.requestSucceeded(token, at(request * 100 + 70));
    }
    BOOST_TEST(this->endpoint("a").stats.workFactor(at(6000)) > 1.1);
    BOOST_TEST(this->endpoint("b").stats.workFactor(at(6000)) < 0.95);
    BOOST_TEST(this->choose(6000) == "b");
}

// Guards against different choices at endpoints that report no work factor. The expected sequence is the one that was
// chosen before reports had a work factor.
BOOST_AUTO_TEST_CASE(choicesWithoutWorkFactorsAreAsBefore)
{
    EndpointSet endpoints;
    for (const char *id : { "0", "1", "2", "3", "4" }) {
        EndpointRecord record;
        record.id = EndpointId(id);
        record.service = service;
        record.zone = ZoneId(*id < '3' ? "here" : "there");
        record.slots = 2;
        endpoints.addOrUpdate(record, start);
    }
    Random random(7);
    const EndpointChooser chooser(endpoints, ZoneId("here"), random);
    std::string chosen;
    for (int request = 0; request < 40; ++request) {
        const int nowMs = request * 7;
        const EndpointPtr endpoint = chooser.choose({ service, typical, {} }, at(nowMs));
        chosen += endpoint->record.id.value();
        const auto token
            = endpoint->stats.requestStarted(at(nowMs), EndpointChooser::nominalLatency(*endpoint, typical, at(nowMs)));
        LoadReport report;
        report.running = static_cast<int>(random.uniformInteger(4));
        report.slots = 2;
        endpoint->stats.updateLoad(report, at(nowMs));
        if (request % 3 != 0) {
            endpoint->stats.requestSucceeded(token, at(nowMs + 10 + request * 2));
        }
    }
    BOOST_TEST(chosen == "2012001000000111033444433443333333333444");
}

// Guards against state of services that are gone, which would fill the memory as services come and go, and against one
// that is lost while all endpoints of a service restart.
BOOST_AUTO_TEST_CASE(forgetsServicesWithoutEndpoints)
{
    EndpointSet endpoints;
    EndpointRecord record;
    record.id = EndpointId("a");
    for (int number = 0; number < 100; ++number) {
        record.service = ServiceId("service-" + std::to_string(number));
        endpoints.addOrUpdate(record, at(number * 60'000));
        BOOST_TEST(endpoints.serviceCount() >= std::min(2U, number + 1U));
        BOOST_TEST(endpoints.serviceCount() <= 10U);
        endpoints.remove(record.id);
    }
}

// Guards against results that are recorded for good after the endpoints that reported work factors have left: the
// response to a request that was in flight then reports one more.
BOOST_AUTO_TEST_CASE(lateReportOfRemovedEndpointIsNoReportOfService)
{
    EndpointSet endpoints;
    EndpointRecord record;
    record.service = ServiceId("service");
    for (const char *id : { "reporting", "other" }) {
        record.id = EndpointId(id);
        endpoints.addOrUpdate(record, at(0));
    }
    const EndpointPtr reporting = endpoints.find(EndpointId("reporting"));
    reporting->stats.updateLoad({ 1, 0, 4, 1 }, at(1));
    BOOST_TEST((endpoints.workFactorsOf(record.service) == ServiceLoadModel::WorkFactors::Reported));
    endpoints.remove(reporting->record.id);
    reporting->stats.updateLoad({ 1, 0, 4, 1 }, at(2));
    BOOST_TEST((endpoints.workFactorsOf(record.service) == ServiceLoadModel::WorkFactors::Unknown));
}

// Guards against durations that overflow because an endpoint reports an absurd number of requests.
BOOST_AUTO_TEST_CASE(boundsReportedNumberOfRequests)
{
    constexpr int highest = std::numeric_limits<int>::max();
    constexpr double plausibleCount = 100'000;
    EndpointLoad load;
    load.update({ highest, highest, 4, 1 }, 0, TimePoint());
    BOOST_TEST(load.remoteInFlight(TimePoint(), 1) > 0);
    BOOST_TEST(load.remoteInFlight(TimePoint(), 1) <= plausibleCount);
    load.update({ -highest, -highest, 4, 1 }, 0, TimePoint());
    BOOST_TEST(load.remoteInFlight(TimePoint(), 1) >= 0);
}

BOOST_AUTO_TEST_SUITE_END()

}
