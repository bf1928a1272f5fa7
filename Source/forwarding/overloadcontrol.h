#pragma once

#include "core/random.h"
#include "core/refusal.h"
#include "forwarding/competingkinds.h"
#include "forwarding/sharddelivery.h"
#include "forwarding/workestimate.h"

#include <map>
#include <optional>

namespace Lycheewall
{

struct AdmittedRequest;
class EndpointSet;

/// Why a request is not sent to the endpoints.
struct OverloadRejection
{
    /// DeadlineUnreachable: even a free endpoint would respond too late. EndpointShed: too many shards reject requests
    /// whatever their load, or do not respond. QueueFull: the room is left to requests whose rejection would cost
    /// callers more.
    Refusal reason = Refusal::None;
    /// Time after which the caller may send the request again.
    Duration retryAfter {};
    /// Estimated waiting time at the endpoints.
    Duration wait {};
};

/// What OverloadControl would decide on a request now.
struct OverloadForecast
{
    /// Refusal::None if the request would be sent.
    Refusal reason = Refusal::None;
    /// Estimated waiting time at the endpoints.
    Duration wait {};
    /// True if the request would be sent only to find out whether endpoints can serve such requests again.
    bool isProbe = false;
    /// If the request would be rejected: the bounds of the random time after which the caller may send it again.
    Duration minRetryAfter {};
    Duration maxRetryAfter {};
};

/**
 * Decides, before anything is sent, which requests are rejected because endpoints are short of room or cannot serve
 * them. Requests compete if they go to the same service, or to indexes with the same first shard. While no request
 * waits at the endpoints, all requests that can be served are sent. The same holds if the endpoints do not report their
 * work factors: the time for which requests wait cannot be estimated then. The state follows from what the endpoints
 * report and how they respond, so a wrong belief ends when the next responses arrive or the reports are too old.
 * Thread safety: none; used on the thread of the request loop.
 */
class OverloadControl
{
public:
    /// @p endpoints and @p random outlive this object.
    OverloadControl(const EndpointSet &endpoints, Random &random);

    /// Decides on a request that has arrived; std::nullopt if it may be sent.
    std::optional<OverloadRejection> decide(const AdmittedRequest &request, TimePoint now);

    /// Returns what decide() would decide now, and records nothing.
    OverloadForecast peek(const AdmittedRequest &request, TimePoint now) const;

    /// True while requests wait at the endpoints and @p request yields to others (CompetingKinds::yieldsToOthers()): a
    /// second copy of it would take their room.
    bool holdsBackHedge(const AdmittedRequest &request, TimePoint now);

    /// False if the results of a request that starts now need not be recorded, as the endpoints that it goes to do not
    /// report their work factors.
    bool needsResults(const AdmittedRequest &request) const;

    /// Records the latency of a response to a request from an endpoint of @p service.
    void recordLatency(const AdmittedRequest &request, const ServiceId &service, Duration latency, TimePoint now);

    /// Records whether a shard, by its index in Route::shards, has responded to a query.
    void recordShard(const AdmittedRequest &request, std::size_t shard, bool delivered, TimePoint now);

    /// Records that a query ends with the responses of @p delivered shards.
    void recordCoverage(const AdmittedRequest &request, std::size_t delivered, TimePoint now);

private:
    /// The requests that compete for the same endpoints.
    struct CompetingRequests
    {
        CompetingKinds kinds;
        ShardDelivery delivery;
        /// Waiting requests for each slot, and when they were counted.
        double queuePerSlot = 0;
        std::optional<TimePoint> countedAt;
        /// By the reason for which other requests are rejected. A request with too short a deadline does not tell
        /// whether silent shards respond again.
        std::map<Refusal, TimePoint> nextProbeAt;
        TimePoint lastRequestAt;
    };

    struct Assessment
    {
        /// Refusal::None if the request is sent.
        Refusal reason = Refusal::None;
        Duration wait {};
        bool isProbe = false;
    };

    /// Decides on a request, and records the decision in @p competing only.
    Assessment assess(const AdmittedRequest &request, CompetingRequests &competing, TimePoint now) const;
    CompetingRequests &competingWith(const AdmittedRequest &request, TimePoint now);
    KindOfRequest kindOf(const AdmittedRequest &request) const;
    /// The reason for which the request cannot be served whatever the load; Refusal::None if there is none.
    Refusal findObstacle(const AdmittedRequest &request, const CompetingRequests &competing, TimePoint now) const;
    /// True if a request is due that is sent although it is not expected to be served. The next one is due later.
    static bool startProbe(CompetingRequests &competing, Refusal reason, TimePoint now);
    static void delayProbe(CompetingRequests &competing, Refusal reason, TimePoint now);
    /// False if even a free endpoint would respond after the deadline.
    bool canMeetDeadline(const AdmittedRequest &request, TimePoint now) const;
    /// Estimated waiting time at the endpoints of the service, or of most of the shards.
    Duration estimatedWait(const AdmittedRequest &request, CompetingRequests &competing, TimePoint now) const;
    /// Time after which a rejected request may be sent again, by a fraction of the time that is left to its deadline.
    static Duration retryAfter(const AdmittedRequest &request, double fraction, TimePoint now);
    static bool isIdle(const CompetingRequests &competing, TimePoint now);
    /// Drops state about endpoints to which no request goes, and about routes that @p table does not have, if a cleanup
    /// is due.
    void forgetUnused(const RouteTable &table, TimePoint now);

    const EndpointSet &endpoints;
    Random &random;
    /// By the service, or the first shard of the index.
    std::map<ServiceId, CompetingRequests> competingRequests;
    /// By route.
    std::map<std::string, WorkEstimate> work;
    TimePoint nextCleanupAt;
};

}
