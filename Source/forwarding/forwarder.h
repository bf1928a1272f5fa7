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
    ResultOr<OrganisationId, ForwardReply> authenticate(const CallerRequest &request, const Route &route);

    ForwarderSettings settings;
    ForwardingContext &context;
    const FeedFreshness &freshness;
    std::shared_ptr<const RouteTable> routeTable;
    /// When this instance ends, if it shuts down.
    std::optional<TimePoint> stopTime;
    RequestRate admittedRate;
};

}
