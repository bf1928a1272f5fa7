#pragma once

#include "feed/feedfreshness.h"
#include "forwarding/exchange.h"

namespace Lycheewall
{

/// How old the knowledge of keys and routes may be.
struct ForwarderSettings
{
    /// Requests with a key are refused when withdrawals of keys could be unknown for longer.
    Duration maxFeedAgeForKeys = std::chrono::seconds(3);
    /// An unknown route or key is reported as such only with fresher knowledge.
    Duration maxFeedAgeForDenials = Milliseconds(1500);
};

/**
 * Admits requests of callers and starts their exchanges: route, key, freshness, quota, in this order.
 * Thread safety: none; used on the thread of the request loop.
 */
class Forwarder
{
public:
    Forwarder(const ForwarderSettings &settings, ForwardingContext &context, const FeedFreshness &freshness);

    void setSettings(const ForwarderSettings &settings);

    /// Requests that are under way keep the table with which they began.
    void setTable(std::shared_ptr<const RouteTable> table);

    /// nullptr before the first table.
    const std::shared_ptr<const RouteTable> &table() const;

    /// @p done is called once, possibly from within forward(). Returns nullptr when the request was refused at once.
    std::shared_ptr<Exchange> forward(const CallerRequestPtr &request, Exchange::ReplyCallback done);

private:
    /// A refusal with what decided it, for the journal.
    struct Denial
    {
        ForwardReply reply;
        std::string detail;
    };

    ForwardReply refuse(Refusal refusal, std::optional<Duration> retryAfter = std::nullopt) const;
    ResultOr<AdmittedRequest, Denial> admit(const CallerRequestPtr &request);
    ResultOr<OrganisationId, ForwardReply> identify(const CallerRequest &request, const Route &route);

    ForwarderSettings settings;
    ForwardingContext &context;
    const FeedFreshness &freshness;
    std::shared_ptr<const RouteTable> current;
};

}
