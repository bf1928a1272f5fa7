#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

/// The users require that each kind of request and each organisation is served at least a quarter as often as all.
constexpr double minRelativeFraction = 0.25;
constexpr const char *rejections = "lycheewall_overload_rejections_total";

/// Two routes over the shards s1 and s2: an urgent one that needs little work, and a patient one.
struct OverloadFixture : public ForwardingFixture
{
    OverloadFixture()
    {
        this->routeToShards(1);
        this->addRoute("urgent", 0, Milliseconds(80));
        this->addRoute("patient", 1, Milliseconds(300));
        this->setOrganisations({ "small", "busy" });
        this->reportWaiting(0);
    }

    void addRoute(const std::string &name, int priority, Duration objective)
    {
        Route added = this->route;
        added.name = name;
        added.prefix = '/' + name + '/';
        added.priority = priority;
        added.latencyObjective = objective;
        this->tableContent.routes.push_back(added);
    }

    void setOrganisations(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            OrganisationSpec organisation;
            organisation.id = OrganisationId(name);
            this->tableContent.organisations.push_back(organisation);
        }
    }

    AdmittedRequest admitted(const std::string &routeName, const std::string &organisation = {})
    {
        AdmittedRequest admitted;
        admitted.table = this->table();
        admitted.request = request(this->clock.now());
        for (const Route &candidate : admitted.table->routes()) {
            if (candidate.name == routeName) {
                admitted.route = &candidate;
            }
        }
        admitted.deadline = this->clock.now() + std::chrono::seconds(1);
        admitted.organisation = OrganisationId(organisation);
        return admitted;
    }

    std::optional<OverloadRejection> decide(const std::string &routeName, const std::string &organisation = {})
    {
        this->clock.advance(Milliseconds(5));
        return this->overloadControl.decide(this->admitted(routeName, organisation), this->clock.now());
    }

    /// Number of requests that are sent, of @p count.
    int countSent(int count, const std::string &routeName, const std::string &organisation = {})
    {
        int sent = 0;
        for (int number = 0; number < count; ++number) {
            this->reportWaiting(this->waiting);
            sent += this->decide(routeName, organisation) ? 0 : 1;
        }
        return sent;
    }

    /// Lets all endpoints report full slots and @p count waiting requests.
    void reportWaiting(int count)
    {
        this->waiting = count;
        for (const char *id : { "s1a", "s1b", "s2a", "s2b" }) {
            this->endpoints.find(EndpointId(id))->stats.updateLoad({ 4, count, 4, 1 }, this->clock.now());
        }
    }

    void recordWork(const std::string &routeName, Duration work)
    {
        for (int number = 0; number < 20; ++number) {
            this->overloadControl.recordLatency(this->admitted(routeName), ServiceId("s1"), work, this->clock.now());
        }
    }

    void recordShards(int count, bool delivered)
    {
        for (int number = 0; number < count; ++number) {
            this->overloadControl.recordShard(this->admitted("patient"), 0, delivered, this->clock.now());
            this->overloadControl.recordShard(this->admitted("patient"), 1, delivered, this->clock.now());
        }
    }

    /// Starts a query, lets the time pass after which it is hedged, and returns the number of requests to endpoints.
    std::size_t countSendsWithHedges(const std::string &routeName)
    {
        const std::size_t sentBefore = this->endpointSender.calls.size();
        const auto query = startExchange(this->context, this->admitted(routeName), [](const ForwardReply &) {});
        for (int step = 0; step < 40; ++step) {
            this->reportWaiting(this->waiting);
            this->clock.advance(Milliseconds(10));
        }
        query->cancel();
        return this->endpointSender.calls.size() - sentBefore;
    }

    int waiting = 0;
};

}

BOOST_FIXTURE_TEST_SUITE(OverloadControlTest, OverloadFixture)

// Guards against requests that are rejected although the endpoints have free slots.
BOOST_AUTO_TEST_CASE(sendsAllWhileNothingWaits)
{
    this->reportWaiting(0);
    BOOST_TEST(this->countSent(100, "urgent") == 100);
    BOOST_TEST(this->countSent(100, "patient") == 100);
}

// Guards against urgent requests that are late because patient ones with more work wait before them.
BOOST_AUTO_TEST_CASE(leavesRoomToMoreUrgentKind)
{
    this->recordWork("urgent", Milliseconds(10));
    this->recordWork("patient", Milliseconds(30));
    BOOST_TEST(this->countSent(10, "patient") == 10);
    this->reportWaiting(6);
    BOOST_TEST(this->countSent(10, "urgent") == 10);
    BOOST_TEST(this->countSent(10, "patient") == 0);
}

// Guards against room that is kept for a kind of which no request arrives any more.
BOOST_AUTO_TEST_CASE(forgetsKindWithoutRequests)
{
    this->reportWaiting(6);
    BOOST_TEST(this->countSent(10, "urgent") == 10);
    BOOST_TEST(this->countSent(10, "patient") < 10);
    this->clock.advance(std::chrono::seconds(4));
    BOOST_TEST(this->countSent(10, "patient") == 10);
}

// Guards against patient requests that are rejected for urgent ones which would be late anyway.
BOOST_AUTO_TEST_CASE(leavesNoRoomToKindThatIsLateAnyway)
{
    this->recordWork("urgent", Milliseconds(90));
    this->reportWaiting(6);
    BOOST_TEST(this->countSent(10, "urgent") == 10);
    BOOST_TEST(this->countSent(10, "patient") == 10);
}

// Guards against queues in which all requests of a kind are late, when fewer could be on time.
BOOST_AUTO_TEST_CASE(rejectsRequestsThatWouldBeLate)
{
    this->recordWork("urgent", Milliseconds(10));
    this->reportWaiting(24);
    BOOST_TEST(this->countSent(10, "urgent") == 0);
}

// Guards against a kind that gets nothing while more urgent requests occupy the endpoints.
BOOST_AUTO_TEST_CASE(leavesMinimumShareToEachKind)
{
    this->recordWork("urgent", Milliseconds(10));
    this->recordWork("patient", Milliseconds(30));
    this->reportWaiting(6);
    int urgentSent = 0;
    int patientSent = 0;
    for (int number = 0; number < 400; ++number) {
        urgentSent += this->countSent(1, "urgent");
        patientSent += this->countSent(1, "patient");
    }
    BOOST_TEST(urgentSent == 400);
    BOOST_TEST(patientSent < 200);
    BOOST_TEST(patientSent / 400.0 >= minRelativeFraction * (urgentSent + patientSent) / 800.0);
}

// Guards against an organisation whose many requests displace those of others, and against one that gets nothing.
BOOST_AUTO_TEST_CASE(rejectsOrganisationAboveFairShareFirst)
{
    this->recordWork("patient", Milliseconds(30));
    this->reportWaiting(26);
    int smallSent = 0;
    int busySent = 0;
    for (int number = 0; number < 100; ++number) {
        smallSent += this->countSent(1, "patient", "small");
        busySent += this->countSent(9, "patient", "busy");
    }
    BOOST_TEST(smallSent == 100);
    BOOST_TEST(busySent < 900);
    BOOST_TEST(busySent / 900.0 >= minRelativeFraction * (smallSent + busySent) / 1000.0);
}

// Guards against requests that are rejected for long because of a load that endpoints reported some time ago.
BOOST_AUTO_TEST_CASE(forgetsOldLoadReports)
{
    this->recordWork("urgent", Milliseconds(10));
    this->reportWaiting(24);
    BOOST_TEST(this->decide("urgent").has_value());
    this->clock.advance(Milliseconds(200));
    BOOST_TEST(!this->decide("urgent").has_value());
}

// Guards against requests that occupy endpoints although they cannot be served before their deadline, and against an
// outdated estimate of the work that rejects all requests for good.
BOOST_AUTO_TEST_CASE(rejectsUnreachableDeadlineExceptForProbes)
{
    this->recordWork("patient", std::chrono::seconds(2));
    int sent = 0;
    for (int number = 0; number < 200; ++number) {
        const auto rejection = this->decide("patient");
        BOOST_TEST((!rejection || rejection->reason == Refusal::DeadlineUnreachable));
        sent += rejection ? 0 : 1;
    }
    // One each 0.2 s.
    BOOST_TEST(sent == 5);
}

// Guards against queries that are sent to all shards although too many of them reject requests, and against rejecting
// them when the shards respond again.
BOOST_AUTO_TEST_CASE(rejectsQueriesWithoutCoverageUntilShardsRespond)
{
    this->recordShards(100, false);
    BOOST_TEST(!this->decide("patient").has_value());
    const auto rejection = this->decide("patient");
    BOOST_TEST((rejection && rejection->reason == Refusal::EndpointShed));
    this->recordShards(30, true);
    BOOST_TEST(!this->decide("patient").has_value());
}

// Guards against queries that are rejected for seconds after shards respond again, until the averages have recovered.
BOOST_AUTO_TEST_CASE(sendsQueriesOnceOneHasReachedCoverage)
{
    this->recordShards(100, false);
    BOOST_TEST(!this->decide("patient").has_value());
    BOOST_TEST(this->decide("patient").has_value());
    this->overloadControl.recordCoverage(this->admitted("patient"), 2, this->clock.now());
    BOOST_TEST(!this->decide("patient").has_value());
    BOOST_TEST(!this->decide("patient").has_value());
}

// Guards against a shortage that is taken for endpoints which reject requests whatever their load: it would reject all
// queries instead of those that find no room.
BOOST_AUTO_TEST_CASE(ignoresRejectionsOfFullEndpoints)
{
    this->reportWaiting(24);
    this->recordShards(100, false);
    this->reportWaiting(0);
    BOOST_TEST(!this->decide("patient").has_value());
    BOOST_TEST(!this->decide("patient").has_value());
}

// Guards against rejected callers that return together, or so late that they cannot be served.
BOOST_AUTO_TEST_CASE(spreadsReturnOfRejectedCallers)
{
    this->recordWork("urgent", Milliseconds(10));
    Duration shortest = Duration::max();
    Duration longest {};
    for (int number = 0; number < 100; ++number) {
        this->reportWaiting(24);
        if (const auto rejection = this->decide("urgent")) {
            shortest = std::min(shortest, rejection->retryAfter);
            longest = std::max(longest, rejection->retryAfter);
        }
    }
    BOOST_TEST((shortest >= Milliseconds(100)));
    BOOST_TEST((longest <= Milliseconds(1000) / 3));
    BOOST_TEST((longest - shortest >= Milliseconds(150)));
}

// Guards against a rejected request that is sent to an endpoint nevertheless, or whose refusal does not state that it
// has not run.
BOOST_AUTO_TEST_CASE(repliesToRejectedRequest)
{
    this->recordWork("urgent", Milliseconds(10));
    this->reportWaiting(24);
    const auto started = startExchange(
        this->context, this->admitted("urgent"), [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    BOOST_TEST((started == nullptr));
    BOOST_TEST(this->endpointSender.calls.empty());
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::QueueFull));
    BOOST_TEST((this->replies[0].execution() == Execution::NotRun));
    BOOST_TEST(this->replies[0].retryAfter().has_value());
    BOOST_TEST(this->counters.value(std::string(rejections) + "{reason=\"queue-full\"}") == 1U);
}

// Guards against a single request that is sent to a service whose endpoints all have queues.
BOOST_AUTO_TEST_CASE(rejectsSingleRequest)
{
    this->route.shards.clear();
    this->routeToService();
    this->addRoute("single", 0, Milliseconds(100));
    AdmittedRequest single = this->admitted("single");
    single.service = ServiceId("s1");
    this->reportWaiting(40);
    BOOST_TEST(this->overloadControl.decide(single, this->clock.now()).has_value());
}

// Guards against decisions about endpoints that do not report how long work takes, so that waiting times are unknown.
BOOST_AUTO_TEST_CASE(sendsAllRequestsWithoutWorkFactors)
{
    for (const char *id : { "s1a", "s1b", "s2a", "s2b" }) {
        EndpointStats &stats = this->endpoints.find(EndpointId(id))->stats;
        stats = EndpointStats();
        stats.updateLoad({ 4, 100, 4, std::nullopt }, this->clock.now());
    }
    this->recordShards(100, false);
    BOOST_TEST(!this->decide("patient").has_value());
}

// Guards against second copies of less urgent requests that take the room of urgent ones, and against requests that get
// no hedge although there is room for it.
BOOST_AUTO_TEST_CASE(holdsBackHedgesOfLessUrgentKindInShortage)
{
    this->fillBudget();
    this->recordWork("urgent", Milliseconds(10));
    this->recordWork("patient", Milliseconds(30));
    this->reportWaiting(1);
    BOOST_TEST(this->countSendsWithHedges("urgent") == 4U);
    BOOST_TEST(this->countSendsWithHedges("patient") == 2U);
    this->reportWaiting(0);
    BOOST_TEST(this->countSendsWithHedges("patient") == 4U);
}

// Guards against estimates of routes that are gone, which would fill the memory as routes come and go.
BOOST_AUTO_TEST_CASE(forgetsWorkOfRemovedRoute)
{
    this->recordWork("patient", std::chrono::seconds(2));
    BOOST_TEST(!this->decide("patient").has_value());
    BOOST_TEST(this->decide("patient").has_value());
    const std::vector<Route> routes = this->tableContent.routes;
    this->tableContent.routes.pop_back();
    this->clock.advance(std::chrono::seconds(11));
    BOOST_TEST(!this->decide("urgent").has_value());
    this->tableContent.routes = routes;
    BOOST_TEST(!this->decide("patient").has_value());
    BOOST_TEST(!this->decide("patient").has_value());
}

// Guards against estimates of routes that are gone and stay, as their requests went to single services whose endpoints
// report no work factors: nothing is decided about those.
BOOST_AUTO_TEST_CASE(forgetsWorkOfRemovedRouteWithoutDecisions)
{
    this->recordWork("patient", std::chrono::seconds(2));
    const std::vector<Route> routes = this->tableContent.routes;
    this->tableContent.routes.pop_back();
    this->clock.advance(std::chrono::seconds(11));
    this->recordWork("urgent", Milliseconds(10));
    this->tableContent.routes = routes;
    BOOST_TEST(!this->decide("patient").has_value());
    BOOST_TEST(!this->decide("patient").has_value());
}

// Guards against hedges that are held back for a more urgent kind whose callers have left, as no request arrives that
// would end its competition.
BOOST_AUTO_TEST_CASE(holdsBackNoHedgeForKindThatHasLeft)
{
    this->reportWaiting(1);
    this->decide("urgent");
    const AdmittedRequest patient = this->admitted("patient");
    BOOST_TEST(this->overloadControl.holdsBackHedge(patient, this->clock.now()));
    this->clock.advance(std::chrono::seconds(3));
    this->reportWaiting(1);
    BOOST_TEST(!this->overloadControl.holdsBackHedge(patient, this->clock.now()));
}

// Guards against hedges of the most urgent kind that are held back as each of many organisations seems to be above its
// fair share just after its request.
BOOST_AUTO_TEST_CASE(hedgesForManyOrganisationsWithFewRequests)
{
    std::vector<std::string> names;
    for (int number = 0; number < 20; ++number) {
        names.push_back("organisation-" + std::to_string(number));
    }
    this->setOrganisations(names);
    this->waiting = 1;
    int heldBack = 0;
    for (int number = 0; number < 100; ++number) {
        const std::string &name = names[number % names.size()];
        this->countSent(1, "urgent", name);
        this->clock.advance(Milliseconds(45));
        this->reportWaiting(this->waiting);
        heldBack += this->overloadControl.holdsBackHedge(this->admitted("urgent", name), this->clock.now()) ? 1 : 0;
    }
    BOOST_TEST(heldBack == 0);
}

// Guards against work for each request to endpoints that report no work factors, and against results that are missing
// once endpoints report them.
BOOST_AUTO_TEST_CASE(needsResultsUnlessEndpointsRespondWithoutWorkFactors)
{
    for (const char *id : { "s1a", "s1b" }) {
        const EndpointRecord record = this->endpoints.find(EndpointId(id))->record;
        this->endpoints.remove(record.id);
        this->endpoints.addOrUpdate(record, this->clock.now());
    }
    BOOST_TEST(this->overloadControl.needsResults(this->admitted("patient")));
    EndpointStats &stats = this->endpoints.find(EndpointId("s1a"))->stats;
    const auto token = stats.requestStarted(this->clock.now(), Milliseconds(10));
    stats.updateLoad({ 4, 0, 4, std::nullopt }, this->clock.now());
    stats.requestSucceeded(token, this->clock.now());
    BOOST_TEST(!this->overloadControl.needsResults(this->admitted("patient")));
    this->reportWaiting(0);
    BOOST_TEST(this->overloadControl.needsResults(this->admitted("patient")));
}

// Guards against callers that are rejected for seconds because of queues that endpoints reported before they recovered:
// without requests, there are no new reports.
BOOST_AUTO_TEST_CASE(sendsProbesWhileNothingElseIsSent)
{
    this->recordWork("urgent", Milliseconds(10));
    for (const char *id : { "s1a", "s1b", "s2a", "s2b" }) {
        EndpointStats &stats = this->endpoints.find(EndpointId(id))->stats;
        const auto token = stats.requestStarted(this->clock.now(), Milliseconds(10));
        stats.requestSucceeded(token, this->clock.now() + Milliseconds(10));
    }
    this->clock.advance(Milliseconds(10));
    this->countSent(10, "urgent");
    this->reportWaiting(100);
    this->countSent(100, "urgent");
    int sent = 0;
    for (int number = 0; number < 200; ++number) {
        sent += this->decide("urgent") ? 0 : 1;
    }
    // One each 0.2 s.
    BOOST_TEST(sent >= 4);
    BOOST_TEST(sent <= 6);
}

// Guards against queries that are rejected because a route over fewer of the same shards has no results for the others.
BOOST_AUTO_TEST_CASE(sendsQueriesOverShardsWithoutResults)
{
    this->recordShards(10, true);
    this->tableContent.routes.front().shards = { ServiceId("s1") };
    this->tableContent.routes.front().name = "single-shard";
    this->overloadControl.recordShard(this->admitted("single-shard"), 0, true, this->clock.now());
    for (int number = 0; number < 10; ++number) {
        BOOST_TEST(!this->decide("patient").has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
