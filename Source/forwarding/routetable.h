#pragma once

#include "admission/keycheck.h"
#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lycheewall
{

/// A set of interchangeable endpoints, which serve the same requests. Each shard of an index is a service of its own.
using ServiceId = StrongId<struct ServiceTag>;

/// Whether it is safe to send a request more than once.
enum class Idempotency { Idempotent, NonIdempotent };

/// A service and the weight that determines its fraction of a route's requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

/// The host of a request as in Route::host: in lower case, without the port.
std::string normalizedHost(std::string_view host);

/// Destination of the requests with one host and path prefix. Either services or shards is not empty.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Idempotency idempotency = Idempotency::Idempotent;
    /// Longest time that a caller may wait for the reply.
    Duration timeout {};
    /// Latency within which a reply is of full use to its caller.
    Duration latencyObjective {};
    /// Largest number of endpoints of each service that one request may be sent to.
    int maxAttempts = 1;
    /// 0 is the highest priority.
    int priority = 0;
    std::vector<WeightedService> services;
    /// All shards of the index; the reply is merged from one response of each.
    std::vector<ServiceId> shards;
    /// Largest number of records in a merged reply.
    std::size_t maxRecords = 0;
    /// Smallest fraction of the shards whose responses suffice for a reply, 0 to 1.
    double minShardRatio = 1;
    /// True if callers need no API key.
    bool isPublic = false;

    /// Smallest number of shards whose responses suffice for a reply, at least 1. Precondition: shards is not empty.
    std::size_t requiredShards() const;
};

/// Properties that all endpoints of a service share.
struct ServiceSpec
{
    ServiceId id;
    /// Largest number of connections that one endpoint accepts from the whole fleet.
    int maxConnections = 0;
    /// Requests per second that a cold endpoint can serve for the whole fleet; 0 means no limit.
    double warmupRequestsPerSecond = 0;
    /// Time for which an endpoint is cold after its start.
    Duration warmup {};
};

/// API keys of an organisation and its limits over the whole fleet.
struct OrganisationSpec
{
    OrganisationId id;
    std::vector<KeyHash> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// Requests per second; 0 means no limit.
    double ratePerSecond = 0;
    double burst = 0;
};

/// Limits on the size and the timing of caller requests.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 1024 } * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// The contents of a route table before they are indexed.
struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    /// True if callers need an API key on routes that are not public, also while no organisation has one.
    bool requiresApiKeys = false;
    CallerLimits limits;
};

enum class RouteTableError { UnknownService = 1, BadPrefix, RouteWithoutService, DuplicateService };
std::error_code make_error_code(RouteTableError error);

/**
 * One version of the routes, services and organisations, indexed for lookups.
 * Thread safety: any thread; immutable.
 */
class RouteTable
{
public:
    /// Validates and indexes @p content. Errors: RouteTableError.
    static Result<std::shared_ptr<const RouteTable>> create(RouteTableContent content);

    std::uint64_t version() const;
    const CallerLimits &limits() const;
    const std::vector<Route> &routes() const;

    /// Returns the route of @p host with the longest prefix that matches @p path, or nullptr. A query string in @p path
    /// is ignored.
    const Route *match(std::string_view host, std::string_view path) const;

    /// Returns nullptr if there is no such service.
    const ServiceSpec *findService(const ServiceId &id) const;

    const std::map<OrganisationId, OrganisationSpec> &organisations() const;

    /// True if callers need an API key on routes that are not public: there are organisations, or
    /// RouteTableContent::requiresApiKeys was set.
    bool requiresApiKeys() const;

    /// Returns the organisation to which the API key @p key belongs, or nullptr. Keys are compared by their hashes.
    const OrganisationSpec *findOrganisationByKey(const std::string &key) const;

private:
    explicit RouteTable(RouteTableContent content);
    Result<void> buildIndexes();

    RouteTableContent content;
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost;
    std::unordered_map<ServiceId, const ServiceSpec *> servicesById;
    std::map<OrganisationId, OrganisationSpec> organisationsById;
    std::map<KeyHash, const OrganisationSpec *> organisationsByKey;
};

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::RouteTableError> : true_type
{
};
}
