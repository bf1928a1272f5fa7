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

/// A set of endpoints that answer the same requests. A shard of an index is a service of its own.
using ServiceId = StrongId<struct ServiceTag>;

/// Whether a request may run more than once.
enum class Idempotency { Idempotent, NonIdempotent };

/// A service and its share of a route's requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

/// Where requests of one host and path prefix go. Either services or shards is not empty.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Idempotency idempotency = Idempotency::Idempotent;
    /// Longest time that a request may be kept waiting.
    Duration timeout {};
    /// Time within which an answer is of full use to its caller.
    Duration latencyObjective {};
    /// Endpoints that one request may be sent to, for each service.
    int maxAttempts = 1;
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    /// All shards of the index; each contributes one part of the answer.
    std::vector<ServiceId> shards;
    /// Records in a merged answer.
    std::size_t maxRecords = 0;
    /// Smallest share of the shards that makes an answer, 0 to 1.
    double minShardRatio = 1;
    /// Needs no key.
    bool isPublic = false;
};

/// Properties that all endpoints of a service share.
struct ServiceSpec
{
    ServiceId id;
    /// Connections that one endpoint accepts from the whole fleet.
    int maxConnections = 0;
    /// Requests per second that a cold endpoint bears from the whole fleet; 0 means that no bound is set.
    double warmupRequestsPerSecond = 0;
    /// How long an endpoint stays cold after its start.
    Duration warmup {};
};

/// An organisation's keys and its limits over the whole fleet.
struct OrganisationSpec
{
    OrganisationId id;
    std::vector<KeyHash> keys;
    /// Goes before the priority of the route.
    std::optional<int> priority;
    /// Requests per second; 0 means no limit.
    double ratePerSecond = 0;
    double burst = 0;
};

/// What a caller may send.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 1024 } * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// The parts of a route table before they are indexed.
struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    CallerLimits limits;
};

enum class RouteTableError { UnknownService = 1, BadPrefix, RouteWithoutService, DuplicateService };
std::error_code make_error_code(RouteTableError error);

/**
 * One version of the routes, services and organisations.
 * Thread safety: immutable.
 */
class RouteTable
{
public:
    /// Checks and indexes @p content. Errors: RouteTableError.
    static Result<std::shared_ptr<const RouteTable>> create(RouteTableContent content);

    std::uint64_t version() const;
    const CallerLimits &limits() const;
    const std::vector<Route> &routes() const;

    /// The route of @p host with the longest prefix of @p path, or nullptr. A query string in @p path is ignored.
    const Route *match(std::string_view host, std::string_view path) const;

    /// nullptr when there is none.
    const ServiceSpec *findService(const ServiceId &id) const;

    const std::map<OrganisationId, OrganisationSpec> &organisations() const;

    /// The organisation that holds @p key, or nullptr. Keys are compared by hash.
    const OrganisationSpec *findOrganisationByKey(const std::string &key) const;

private:
    explicit RouteTable(RouteTableContent content);
    Result<void> index();

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
