#pragma once

#include "core/refusal.h"
#include "forwarding/connectionusage.h"
#include "forwarding/endpointchooser.h"
#include "forwarding/fleetretrybudget.h"
#include "forwarding/organisationquota.h"

#include <map>
#include <optional>
#include <vector>

namespace Lycheewall
{

/// The request that an explanation is about. It names the organisation instead of an API key.
struct RouteQuery
{
    std::string host;
    /// Path and query.
    std::string target;
    std::string method = "GET";
    std::optional<OrganisationId> organisation;
    /// Time for which the caller waits; std::nullopt if only the route limits it.
    std::optional<Duration> deadline;
};

/// Why an endpoint is selected, or is not. Those from Ejected on may be selected, but another endpoint costs less; the
/// verdict names what makes most of the difference.
enum class EndpointVerdict {
    Chosen,
    /// Costs as little as the chosen one; one of them is selected at random.
    EquallyGood,
    Removed,
    Draining,
    Leaving,
    ZoneEvacuated,
    Backoff,
    RateLimit,
    AlreadyTried,
    LowFillLevel,
    Ejected,
    Cold,
    /// It has responded later than expected, and is not probed now.
    Suspect,
    SlowerEstimate,
    Busier,
    Stalled,
    RecentFailures,
    OtherZone,
};

/// The name of a verdict in explanations, for example "slower-estimate".
std::string_view endpointVerdictName(EndpointVerdict verdict);

/// One endpoint of a service, as the next request would find it.
struct EndpointExplanation
{
    EndpointId endpoint;
    ZoneId zone;
    EndpointVerdict verdict = EndpointVerdict::Chosen;
    Duration estimatedLatency {};
    EndpointCost cost;
    /// Age of the load report that the estimate is based on; std::nullopt if the endpoint has reported none.
    std::optional<Duration> reportAge;
    /// Requests of this instance in flight, and the estimated number of those of others.
    int inFlight = 0;
    double othersInFlight = 0;
    int slots = 0;
    bool isCold = false;
    ConnectionUsage connections;
    /// With Backoff or RateLimit: time until the endpoint takes another request.
    Duration throttleWait {};
};

/// Largest numbers of services, and of endpoints of all services together, that an explanation lists. The others are
/// counted.
constexpr std::size_t maxListedServices = 64;
constexpr std::size_t maxListedEndpoints = 256;

/// A service of the route: a shard, or one of the services that the requests are distributed over.
struct ServiceExplanation
{
    ServiceId service;
    /// False for a service that another request goes to, because of the weights of the route.
    bool isUsed = true;
    /// With shards: why the shard is left out of the query; Refusal::None if it is sent.
    Refusal skipped = Refusal::None;
    /// True if another instance sends the request to the endpoint; it may select another one than chosen.
    bool isRelayed = false;
    /// Empty if no endpoint takes a request now.
    std::optional<EndpointId> chosen;
    std::size_t connectionLimit = 0;
    RetryBudgetState retryBudget;
    /// The first endpoints, the most likely ones first, and the number of all of them by verdict.
    std::vector<EndpointExplanation> endpoints;
    std::map<EndpointVerdict, std::size_t> verdictCounts;
    std::size_t unlistedEndpoints = 0;
};

/// The zone that relays shards, and how many of its instances can be selected.
struct RelayExplanation
{
    ZoneId zone;
    std::size_t instances = 0;
    std::size_t shards = 0;
};

struct MatchedRoute
{
    std::string name;
    std::string prefix;
    Idempotency idempotency = Idempotency::Idempotent;
    Duration timeout {};
    Duration latencyObjective {};
    int maxAttempts = 1;
    /// Of the request: that of the organisation, or else that of the route.
    int priority = 0;
    bool isPublic = false;
    /// 0 for a route without shards.
    std::size_t shards = 0;
    std::size_t requiredShards = 0;
};

/// What the caller would get.
struct AdmissionExplanation
{
    /// Refusal::None if the request would be sent to endpoints.
    Refusal refusal = Refusal::None;
    /// With a refusal: the bounds of Retry-After; std::nullopt if the caller is not told when to return.
    std::optional<Duration> minRetryAfter;
    std::optional<Duration> maxRetryAfter;
    /// Estimated waiting time at the endpoints.
    Duration wait {};
    /// True if the request would be sent only to find out whether endpoints can serve such requests again.
    bool isProbe = false;
};

/// Where a request would go now, and why. Contains no API key.
struct RouteExplanation
{
    RouteQuery query;
    InstanceId instance;
    ZoneId zone;
    /// std::nullopt before the first route table.
    std::optional<std::uint64_t> tableVersion;
    /// Duration::max() if the feed was never read.
    Duration feedAge {};
    /// std::nullopt if no route matches.
    std::optional<MatchedRoute> route;
    AdmissionExplanation admission;
    /// std::nullopt if the route needs no API key or the organisation is unknown.
    std::optional<OrganisationQuotaState> quota;
    std::optional<RelayExplanation> relay;
    /// Shards that are not sent come first, and of several services the one that the request goes to.
    std::vector<ServiceExplanation> services;
    std::size_t unlistedServices = 0;
};

}
