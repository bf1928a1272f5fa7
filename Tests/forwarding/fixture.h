#pragma once

#include "core/manualclock.h"
#include "forwarding/exchange.h"
#include "forwarding/forwarder.h"

namespace Lycheewall
{

/// Records the calls of the code under test; the test completes them.
class FakeEndpointSender : public EndpointSender
{
public:
    struct Call : public OutgoingCall
    {
        bool mayHaveBeenSent() const override
        {
            return this->sent;
        }
        void cancel(Duration /*gracePeriod*/) override
        {
            this->cancelled = true;
            this->done = nullptr;
        }
        void finish(CallResult result, int status = 200, const std::string &body = {})
        {
            CallOutcome outcome;
            outcome.result = result;
            outcome.response.status = status;
            outcome.response.body = body;
            outcome.response.signature = "stamp-" + this->call.endpoint->record.id.value();
            const auto callback = std::move(this->done);
            this->done = nullptr;
            if (callback) {
                callback(outcome);
            }
        }

        EndpointCall call;
        std::function<void(CallOutcome)> done;
        bool sent = true;
        bool cancelled = false;
    };

    std::shared_ptr<OutgoingCall> send(const EndpointCall &call, std::function<void(CallOutcome)> done) override
    {
        const auto newCall = std::make_shared<Call>();
        newCall->call = call;
        newCall->done = std::move(done);
        this->calls.push_back(newCall);
        return newCall;
    }

    std::vector<std::shared_ptr<Call>> calls;
};

/// The components that requests need, with two services of two endpoints each.
struct ForwardingFixture
{
    ForwardingFixture()
    {
        for (const char *service : { "s1", "s2" }) {
            for (const char *number : { "a", "b" }) {
                EndpointRecord record;
                record.id = EndpointId(std::string(service) + number);
                record.service = ServiceId(service);
                record.zone = ZoneId("here");
                record.slots = 4;
                this->endpoints.addOrUpdate(record, this->clock.now());
            }
            ServiceSpec spec;
            spec.id = ServiceId(service);
            spec.maxConnections = 10;
            this->tableContent.services.push_back(spec);
        }
        this->route.name = "route";
        this->route.host = "host";
        this->route.prefix = "/";
        this->route.latencyObjective = Milliseconds(100);
        this->route.timeout = Milliseconds(1000);
        this->route.maxAttempts = 2;
        this->route.maxRecords = 3;
    }

    ~ForwardingFixture()
    {
        this->finishAllRequests();
    }

    /// Finishes requests in flight, which keep themselves alive, by advancing the clock. Derived fixtures whose members
    /// are used by requests call it in their own destructor, before these members are destroyed.
    void finishAllRequests()
    {
        this->clock.advance(std::chrono::seconds(20));
    }

    void routeToService()
    {
        this->route.services = { { ServiceId("s1"), 1 } };
    }

    void routeToShards(double minShardRatio)
    {
        this->route.shards = { ServiceId("s1"), ServiceId("s2") };
        this->route.minShardRatio = minShardRatio;
    }

    std::shared_ptr<const RouteTable> table()
    {
        RouteTableContent built = this->tableContent;
        built.version = 1;
        built.routes.push_back(this->route);
        return RouteTable::create(built).value();
    }

    static std::shared_ptr<CallerRequest> request(TimePoint now)
    {
        auto request = std::make_shared<CallerRequest>();
        request->attemptId = "id";
        request->method = "GET";
        request->host = "host";
        request->target = "/x";
        request->arrivedAt = now;
        request->deadline = now + std::chrono::seconds(5);
        return request;
    }

    void start()
    {
        AdmittedRequest admitted;
        admitted.table = this->table();
        admitted.route = &admitted.table->routes().front();
        admitted.request = request(this->clock.now());
        admitted.deadline = this->clock.now() + this->route.timeout;
        this->exchange = startExchange(
            this->context, admitted, [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    }

    FakeEndpointSender::Call &call(std::size_t number)
    {
        return *this->endpointSender.calls.at(number);
    }

    /// Fills the retry budget of a service, so that the number of attempts is limited by the route alone.
    void fillBudgetOf(const char *service)
    {
        for (int sent = 0; sent < 100; ++sent) {
            this->retryBudget.recordFirstAttempt(ServiceId(service));
        }
    }

    /// Fills the retry budget of both services.
    void fillBudget()
    {
        this->fillBudgetOf("s1");
        this->fillBudgetOf("s2");
    }

    ManualClock clock;
    Counters counters;
    Random random { 1 };
    EndpointSet endpoints;
    EndpointChooser chooser { endpoints, ZoneId("here"), random };
    FakeEndpointSender endpointSender;
    FleetRetryBudget retryBudget { { 0.2, 50, std::chrono::seconds(10) }, clock, random };
    LatencyModel latencies;
    WeightedRoundRobin serviceBalancer;
    OrganisationQuota quota { clock };
    RequestLog requestLog { clock };
    ThrottledAdmission throttledAdmission;
    OverloadControl overloadControl { endpoints, random };
    std::shared_ptr<ResponseMemory> responseMemory = std::make_shared<ResponseMemory>(clock);
    ForwardingContext context { clock,          clock,       counters,           endpoints,       chooser,
                                endpointSender, retryBudget, latencies,          serviceBalancer, quota,
                                requestLog,     random,      throttledAdmission, overloadControl, responseMemory,
                                nullptr };
    RouteTableContent tableContent;
    Route route;
    std::shared_ptr<Exchange> exchange;
    std::vector<ForwardReply> replies;
};

/// Requests that pass a forwarder, which has no route table before it is published.
struct PublishedRoutesFixture : public ForwardingFixture
{
    ~PublishedRoutesFixture()
    {
        this->finishAllRequests();
    }

    void publishTable()
    {
        const auto built = this->table();
        this->forwarder.setTable(built);
        this->quota.setLimits(built->organisations());
        this->freshness.confirm(this->clock.now());
    }

    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
};

}
