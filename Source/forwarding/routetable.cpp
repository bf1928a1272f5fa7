#include "forwarding/routetable.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Tolerates rounding errors when the ratio of shards is converted to a number of shards.
constexpr double shardCountTolerance = 1e-9;

class RouteTableCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "route table";
    }
    std::string message(int value) const override
    {
        switch (static_cast<RouteTableError>(value)) {
        case RouteTableError::UnknownService:
            return "a route names a service that does not exist";
        case RouteTableError::BadPrefix:
            return "a prefix does not begin and end with a slash";
        case RouteTableError::RouteWithoutService:
            return "a route has neither services nor shards";
        case RouteTableError::DuplicateService:
            return "two services have the same id";
        }
        return "unknown error";
    }
};

bool isValidPrefix(const std::string &prefix)
{
    return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

bool hasLongerPrefix(const Route *left, const Route *right)
{
    return left->prefix.size() > right->prefix.size();
}

std::string_view withoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool startsWith(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

}

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return name;
}

std::size_t Route::requiredShards() const
{
    const double required = this->minShardRatio * static_cast<double>(this->shards.size());
    return static_cast<std::size_t>(std::max(1.0, std::ceil(required - shardCountTolerance)));
}

std::error_code make_error_code(RouteTableError error)
{
    static const RouteTableCategory category;
    return { static_cast<int>(error), category };
}

RouteTable::RouteTable(RouteTableContent tableContent)
    : content(std::move(tableContent))
{
}

Result<std::shared_ptr<const RouteTable>> RouteTable::create(RouteTableContent content)
{
    const std::shared_ptr<RouteTable> table(new RouteTable(std::move(content)));
    const auto indexed = table->buildIndexes();
    if (!indexed) {
        return indexed.error();
    }
    return std::shared_ptr<const RouteTable>(table);
}

Result<void> RouteTable::buildIndexes()
{
    for (const ServiceSpec &spec : this->content.services) {
        if (!this->servicesById.emplace(spec.id, &spec).second) {
            return make_error_code(RouteTableError::DuplicateService);
        }
    }
    for (const Route &route : this->content.routes) {
        if (!isValidPrefix(route.prefix)) {
            return make_error_code(RouteTableError::BadPrefix);
        }
        if (route.services.empty() && route.shards.empty()) {
            return make_error_code(RouteTableError::RouteWithoutService);
        }
        for (const WeightedService &weighted : route.services) {
            if (this->findService(weighted.service) == nullptr) {
                return make_error_code(RouteTableError::UnknownService);
            }
        }
        for (const ServiceId &shard : route.shards) {
            if (this->findService(shard) == nullptr) {
                return make_error_code(RouteTableError::UnknownService);
            }
        }
        this->routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), &hasLongerPrefix);
    }
    for (const OrganisationSpec &organisation : this->content.organisations) {
        const auto [entry, added] = this->organisationsById.emplace(organisation.id, organisation);
        for (const KeyHash &key : organisation.keys) {
            this->organisationsByKey[key] = &entry->second;
        }
    }
    return success();
}

std::uint64_t RouteTable::version() const
{
    return this->content.version;
}

const CallerLimits &RouteTable::limits() const
{
    return this->content.limits;
}

const std::vector<Route> &RouteTable::routes() const
{
    return this->content.routes;
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = this->routesByHost.find(std::string(host));
    if (routes == this->routesByHost.end()) {
        return nullptr;
    }
    const std::string_view pathOnly = withoutQuery(path);
    for (const Route *route : routes->second) {
        if (startsWith(pathOnly, route->prefix)) {
            return route;
        }
    }
    return nullptr;
}

const ServiceSpec *RouteTable::findService(const ServiceId &id) const
{
    const auto entry = this->servicesById.find(id);
    return entry == this->servicesById.end() ? nullptr : entry->second;
}

const std::map<OrganisationId, OrganisationSpec> &RouteTable::organisations() const
{
    return this->organisationsById;
}

bool RouteTable::requiresApiKeys() const
{
    return this->content.requiresApiKeys || !this->organisationsById.empty();
}

const OrganisationSpec *RouteTable::findOrganisationByKey(const std::string &key) const
{
    const auto entry = this->organisationsByKey.find(KeyCheck::hash(key));
    return entry == this->organisationsByKey.end() ? nullptr : entry->second;
}

}
