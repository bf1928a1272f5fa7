#include "catalogue/poolparser.h"

#include <limits>

namespace Lycheewall
{

namespace
{

constexpr std::int64_t maxSlots = 10'000;
/// A lease owner opens at most a third of the connections, so that those of three successive owners fit into the limit.
constexpr std::int64_t minConnections = 3;
constexpr std::int64_t maxConnections = 100'000;
constexpr std::int64_t maxServiceMs = 600'000;
/// Keeps the sum of the documents of all groups of a 1 MB catalogue far below 2^63.
constexpr std::int64_t maxDocuments = 1'000'000'000'000;
/// Size of a group in a pool without shards. Each group has its own lease, and its owner must be able to choose between
/// several endpoints.
constexpr std::size_t endpointsPerGroup = 4;

/// Splits the endpoints of a pool without shards, in file order, into the groups "g0", "g1", ...
std::vector<Group> splitIntoGroups(std::vector<Endpoint> endpoints)
{
    std::vector<Group> groups;
    for (Endpoint &endpoint : endpoints) {
        if (groups.empty() || groups.back().endpoints.size() == endpointsPerGroup) {
            groups.push_back({ GroupId("g" + std::to_string(groups.size())), {} });
        }
        groups.back().endpoints.push_back(std::move(endpoint));
    }
    return groups;
}

}

WorkClass parseWorkClass(const SchemaMap &map)
{
    map.require("class");
    switch (map.choice("class", { "interactive", "editing", "archive" })) {
    case 1:
        return WorkClass::Editing;
    case 2:
        return WorkClass::Archive;
    default:
        return WorkClass::Interactive;
    }
}

PoolParser::PoolParser(const std::set<ZoneId> &knownZones, ProblemList &list)
    : zones(knownZones)
    , problems(list)
{
}

Pool PoolParser::parse(const std::string &id, const YamlValue &value)
{
    const SchemaMap map(value,
                        describeItem("pool", id),
                        { "owner",
                          "class",
                          "open",
                          "slots",
                          "connections",
                          "cold-slots",
                          "service-ms",
                          "endpoints",
                          "groups",
                          "snapshots" },
                        this->problems);
    Pool pool;
    pool.id = PoolId(id);
    pool.owner = map.text("owner");
    pool.workClass = parseWorkClass(map);
    pool.isPublic = map.boolean("open");
    pool.limits = parseLimits(map);
    this->parseGroups(map, pool);
    return pool;
}

EndpointLimits PoolParser::parseLimits(const SchemaMap &map)
{
    EndpointLimits limits;
    limits.slots = static_cast<int>(map.integer("slots", 1, maxSlots));
    limits.connections = static_cast<int>(map.integer("connections", minConnections, maxConnections));
    limits.coldSlots = static_cast<int>(map.integer("cold-slots", 1, maxSlots, 1));
    limits.nominalServiceTime
        = Milliseconds(map.integer("service-ms", 1, maxServiceMs, limits.nominalServiceTime.count()));
    if (limits.coldSlots > limits.slots) {
        map.addProblem(CatalogueError::OutOfRange,
                       map.lineOf("cold-slots"),
                       "cold-slots must be at most slots, which is " + std::to_string(limits.slots) + ", got "
                           + std::to_string(limits.coldSlots));
    }
    return limits;
}

void PoolParser::parseGroups(const SchemaMap &map, Pool &pool)
{
    pool.sharded = map.has("groups");
    if (pool.sharded && map.has("endpoints")) {
        map.addProblem(CatalogueError::Conflict,
                       map.lineOf("endpoints"),
                       "must have either groups (with shards) or endpoints (without), got both");
    } else if (pool.sharded) {
        map.forEachEntry("groups", "group", [&](const std::string &id, const YamlValue &value) {
            const SchemaMap group(
                value, map.item() + ", " + describeItem("group", id), { "endpoints" }, this->problems);
            pool.groups.push_back({ GroupId(id), this->parseEndpoints(group, pool.id) });
        });
        if (pool.groups.empty()) {
            map.addProblem(CatalogueError::Empty, map.lineOf("groups"), "groups must have at least one entry");
        }
        this->parseSnapshots(map, pool);
    } else if (map.has("endpoints")) {
        pool.groups = splitIntoGroups(this->parseEndpoints(map, pool.id));
    } else {
        map.addProblem(CatalogueError::MissingKey, map.line(), "must have groups (with shards) or endpoints (without)");
    }
    if (!pool.sharded && map.has("snapshots")) {
        map.addProblem(CatalogueError::Conflict, map.lineOf("snapshots"), "only a pool with groups may have snapshots");
    }
}

std::vector<Endpoint> PoolParser::parseEndpoints(const SchemaMap &map, const PoolId &pool)
{
    std::vector<Endpoint> endpoints;
    const YamlValue *present = map.find("endpoints");
    const auto &list = map.list("endpoints");
    endpoints.reserve(list.size());
    for (const YamlValue &value : list) {
        endpoints.push_back(this->parseEndpoint(value, pool));
    }
    if (present != nullptr && present->kind == YamlValue::Kind::Sequence && list.empty()) {
        map.addProblem(CatalogueError::Empty, present->line, "endpoints must have at least one entry");
    }
    return endpoints;
}

Endpoint PoolParser::parseEndpoint(const YamlValue &value, const PoolId &pool)
{
    std::string item = describeItem("pool", pool.value()) + ", endpoint";
    for (std::size_t index = 0; index < value.keys.size(); ++index) {
        if (value.keys[index].text == "id" && value.items[index].kind == YamlValue::Kind::Scalar) {
            item += ' ' + quoted(value.items[index].text);
            break;
        }
    }
    const SchemaMap map(value, std::move(item), { "id", "address", "zone", "state" }, this->problems);
    Endpoint endpoint;
    endpoint.id = EndpointId(map.name("id"));
    SocketAddress address = map.address("address");
    endpoint.host = std::move(address.host);
    endpoint.port = address.port;
    endpoint.zone = ZoneId(map.name("zone"));
    endpoint.draining = map.choice("state", { "live", "leaving" }) == 1;
    if (!endpoint.zone.value().empty() && this->zones.count(endpoint.zone) == 0) {
        map.addProblem(CatalogueError::UnknownZone,
                       map.lineOf("zone"),
                       "zone must be one of the zones of the catalogue, got " + quoted(endpoint.zone.value()));
    }
    this->checkUnique(map, endpoint);
    return endpoint;
}

void PoolParser::checkUnique(const SchemaMap &map, const Endpoint &endpoint)
{
    if (!endpoint.id.value().empty() && !this->endpointIds.insert(endpoint.id).second) {
        map.addProblem(CatalogueError::Duplicate,
                       map.lineOf("id"),
                       "endpoint id " + quoted(endpoint.id.value()) + " is present twice");
    }
    if (endpoint.port == 0) {
        return;
    }
    // Two ids for one endpoint would double its slots and its connection limit.
    const auto [other, added] = this->addresses.emplace(std::pair(endpoint.host, endpoint.port), endpoint.id);
    if (!added) {
        map.addProblem(CatalogueError::Duplicate,
                       map.lineOf("address"),
                       "address is that of endpoint " + quoted(other->second.value()) + " already");
    }
}

void PoolParser::parseSnapshots(const SchemaMap &map, Pool &pool)
{
    std::set<GroupId> groups;
    for (const Group &group : pool.groups) {
        groups.insert(group.id);
    }
    const YamlValue *present = map.find("snapshots");
    const auto &list = map.list("snapshots");
    for (const YamlValue &value : list) {
        Snapshot snapshot = this->parseSnapshot(value, pool, groups);
        if (!pool.snapshots.empty() && snapshot.version < pool.snapshots.back().version) {
            map.addProblem(CatalogueError::OutOfRange,
                           value.line,
                           "snapshots must be listed oldest first, got version "
                               + std::to_string(snapshot.version.value()) + " after "
                               + std::to_string(pool.snapshots.back().version.value()));
        } else if (!pool.snapshots.empty() && snapshot.version == pool.snapshots.back().version) {
            map.addProblem(CatalogueError::Duplicate,
                           value.line,
                           "snapshot " + std::to_string(snapshot.version.value()) + " is present twice");
        }
        pool.snapshots.push_back(std::move(snapshot));
    }
    if (present != nullptr && present->kind == YamlValue::Kind::Sequence && list.empty()) {
        map.addProblem(CatalogueError::Empty, present->line, "snapshots must have at least one entry");
    }
}

Snapshot PoolParser::parseSnapshot(const YamlValue &value, const Pool &pool, const std::set<GroupId> &groups)
{
    const SchemaMap map(
        value, describeItem("pool", pool.id.value()) + ", snapshot", { "version", "documents" }, this->problems);
    Snapshot snapshot;
    snapshot.version = SnapshotVersion(
        static_cast<std::uint64_t>(map.integer("version", 1, std::numeric_limits<std::int64_t>::max())));
    const YamlValue *documents = map.find("documents");
    map.forEachEntry("documents", "group", [&](const std::string &id, const YamlValue &count) {
        const std::string label = "documents of " + describeItem("group", id);
        snapshot.documents[GroupId(id)] = static_cast<std::uint64_t>(map.integerAt(label, count, 0, maxDocuments));
        if (groups.count(GroupId(id)) == 0) {
            map.addProblem(
                CatalogueError::UnknownGroup, count.line, "documents must name groups of the pool, got " + quoted(id));
        }
    });
    if (documents != nullptr && documents->kind == YamlValue::Kind::Map && snapshot.documents.empty()) {
        map.addProblem(CatalogueError::Empty, documents->line, "documents must have at least one entry");
    }
    return snapshot;
}

}
