#pragma once

#include "forwarding/fixture.h"
#include "forwarding/routeexplainer.h"

#include <boost/test/unit_test.hpp>
#include <functional>

namespace Lycheewall
{

/// All connections of one endpoint are busy.
class FakeConnections : public ConnectionUsageSource
{
public:
    ConnectionUsage usageOf(const EndpointId &endpoint) const override
    {
        return endpoint == this->busyEndpoint ? ConnectionUsage { 10, 0, 3 } : ConnectionUsage { 2, 1, 0 };
    }

    EndpointId busyEndpoint;
};

/// A relay for all shards that are offered. It must not be asked to send.
class FakeRelay : public ShardRelay
{
public:
    std::optional<RelayZone> findZone(const std::vector<ServiceId> &services) const override
    {
        return RelayZone { ZoneId("there"), 2, services };
    }
    std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> & /*services*/) override
    {
        BOOST_ERROR("a relay was selected");
        return std::nullopt;
    }
    std::unique_ptr<PendingRelay>
    send(const RelayTarget & /*target*/, const AdmittedRequest & /*request*/, ResponseCallback /*callback*/) override
    {
        BOOST_ERROR("a relay request was sent");
        return nullptr;
    }
    void handleTimeout(const InstanceId & /*instance*/) override
    {
    }
};

/// Explains requests, and forwards the same ones.
struct ExplainerFixture : public PublishedRoutesFixture
{
    ExplainerFixture()
    {
        OrganisationSpec organisation;
        organisation.id = OrganisationId("org");
        organisation.keys = { KeyCheck::hash("secret-key") };
        organisation.ratePerSecond = 100;
        organisation.burst = 100;
        this->tableContent.organisations.push_back(organisation);
    }
    ~ExplainerFixture()
    {
        this->finishAllRequests();
    }

    RouteExplanation explain() const
    {
        return this->explainer.explain(this->query);
    }

    void forward()
    {
        const auto callerRequest = request(this->clock.now());
        callerRequest->host = this->query.host;
        callerRequest->target = this->query.target;
        callerRequest->deadline = this->clock.now() + this->query.deadline.value_or(std::chrono::seconds(5));
        if (this->query.organisation) {
            callerRequest->apiKey = this->query.organisation->value() == "org" ? "secret-key" : "other-key";
        }
        this->forwarder.forward(callerRequest, [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    }

    /// Explains a request and forwards it. Both must come to the same result, @p refusal.
    void checkRefusal(Refusal refusal)
    {
        this->replies.clear();
        const AdmissionExplanation admission = this->explain().admission;
        this->forward();
        BOOST_TEST(refusalCode(admission.refusal) == refusalCode(refusal));
        if (refusal == Refusal::None) {
            BOOST_TEST(this->replies.empty());
            return;
        }
        BOOST_REQUIRE(this->replies.size() == 1U);
        const ForwardReply &reply = this->replies.front();
        BOOST_TEST(refusalCode(reply.refusal()) == refusalCode(refusal));
        BOOST_TEST(reply.retryAfter().has_value() == admission.minRetryAfter.has_value());
        if (reply.retryAfter() && admission.minRetryAfter) {
            BOOST_TEST(
                (*reply.retryAfter() >= *admission.minRetryAfter && *reply.retryAfter() <= *admission.maxRetryAfter));
        }
    }

    ServiceEndpoint &endpoint(const char *id)
    {
        return *this->endpoints.find(EndpointId(id));
    }

    void changeRecord(const char *id, const std::function<void(EndpointRecord &)> &change)
    {
        EndpointRecord record = this->endpoint(id).record;
        change(record);
        this->endpoints.addOrUpdate(record, this->clock.now());
    }

    /// Lets all endpoints report @p waiting requests in their queues.
    void reportWaiting(int waiting)
    {
        for (const char *id : { "s1a", "s1b", "s2a", "s2b" }) {
            this->endpoint(id).stats.updateLoad({ 4, waiting, 4, 1.0 }, this->clock.now());
        }
    }

    FakeConnections connections;
    FakeRelay relay;
    RouteExplainer explainer { { context, forwarder, freshness, connections }, { InstanceId("i"), ZoneId("here") } };
    RouteQuery query { "host", "/x", "GET", OrganisationId("org"), std::nullopt };
};

}
