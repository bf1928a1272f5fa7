#pragma once

#include "feed/feedfreshness.h"
#include "forwarding/exchange.h"
#include "forwarding/requestrate.h"

namespace Lycheewall
{

/// Maximum ages of the feed data on which decisions about API keys and routes are based.
struct ForwarderSettings
{
    /// Requests with an API key are refused if the feed data is older, because the key may have been revoked since.
    Duration maxFeedAgeForKeys = std::chrono::seconds(3);
    /// A route or API key is reported as unknown only if the feed data is not older, because it may have been added
    /// since.
    Duration maxFeedAgeForDenials = Milliseconds(1500);
};

/**
 * Admits requests of callers and starts their exchanges. Checks the route, the deadline, the API key with the age of
 * the feed data, and the organisation's quota, in this order.
 * Thread safety: none; used on the thread of the request loop.
 */
class Forwarder
{
public:
    Forwarder(const ForwarderSettings &settings, ForwardingContext &context, const FeedFreshness &freshness);

    void setSettings(const ForwarderSettings &settings);

    /// Sets when this instance ends. From now on it refuses requests that may not end before: non-idempotent ones if
    /// their deadline is later, idempotent ones if twice their latency objective is not left. The refusal states "not
    /// run", so that the caller can send the request to another instance at once.
    void setStopTime(TimePoint time);

    /// Requests in flight keep the table with which they were admitted.
    void setTable(std::shared_ptr<const RouteTable> table);

    /// The current route table; nullptr before the first call of setTable().
    const std::shared_ptr<const RouteTable> &table() const;

    /// The limits for callers in force; the defaults before the first call of setTable().
    CallerLimits callerLimits() const;

    /// Admits and starts @p request. @p done is called once, possibly from within forward(), unless the exchange is
    /// cancelled first. Returns nullptr if the request was not admitted; @p done has been called then.
    std::shared_ptr<Exchange> forward(const CallerRequestPtr &request, Exchange::ReplyCallback done);

    /// Finds the route of @p request and the deadline by it. Refused without a route table or a route.
    ResultOr<AdmittedRequest, ForwardReply> matchRoute(const CallerRequestPtr &request) const;

    /// The refusal of a request whose deadline has passed or which may not end before this instance stops;
    /// std::nullopt if there is time for it.
    std::optional<ForwardReply> checkTime(const AdmittedRequest &request) const;

    /// Whether a request of @p organisation with a valid API key is accepted on @p route; std::nullopt stands for a
    /// request without a key. Returns an empty id if the route needs no key. Precondition: there is a route table.
    ResultOr<OrganisationId, ForwardReply> checkOrganisation(const Route &route,
                                                             const std::optional<OrganisationId> &organisation) const;

    /// Rate of the requests that were admitted, including those that were refused later.
    const RequestRate &requestRate() const;

private:
    /// A refusal with log fields that state its cause.
    struct RefusalWithDetail
    {
        ForwardReply reply;
        std::string detail;
    };

    ForwardReply makeRefusal(Refusal refusal, std::optional<Duration> retryAfter = std::nullopt) const;
    ResultOr<AdmittedRequest, RefusalWithDetail> admit(const CallerRequestPtr &request);
    bool canEndBeforeStop(const AdmittedRequest &request) const;
    bool needsApiKey(const Route &route) const;
    ResultOr<OrganisationId, ForwardReply> authenticate(const CallerRequest &request, const Route &route) const;
    /// Accepts a request with an API key. @p keyOwner is nullptr if no organisation is known to own the key.
    ResultOr<OrganisationId, ForwardReply> acceptKey(const OrganisationSpec *keyOwner) const;

    ForwarderSettings settings;
    ForwardingContext &context;
    const FeedFreshness &freshness;
    std::shared_ptr<const RouteTable> routeTable;
    /// When this instance ends, if it shuts down.
    std::optional<TimePoint> stopTime;
    RequestRate admittedRate;
};

}
