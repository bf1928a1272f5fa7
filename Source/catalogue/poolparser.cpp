#include "catalogue/poolparser.h"

#include <limits>

namespace Lycheewall
{

namespace
{

constexpr std::int64_t maxSlots = 10'000;
/// An owner uses a third of the connections, so that three generations of owners fit under the cap.
constexpr std::int64_t minConnections = 3;
constexpr std::int64_t maxConnections = 100'000;
constexpr std::int64_t maxServiceMs = 600'000;
/// Keeps the sum over all groups of a 1 MB catalogue far below 2^63.
constexpr std::int64_t maxDocuments = 1'000'000'000'000;
/// Replicas of one group of a pool without shards: each group is a lease of its own, and its owner needs a choice.
constexpr std::size_t replicasPerCut = 4;

/// Cuts the endpoints of a pool without shards, in file order, into the groups "g0", "g1", ...
std::vector<Group> cut(std::vector<Endpoint> endpoints)
{
    std::vector<Group> groups;
    for (Endpoint &endpoint : endpoints) {
        if (groups.empty() || groups.back().endpoints.size() == replicasPerCut) {
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
                        itemText("pool", id),
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
    pool.open = map.boolean("open");
    pool.limits = parseLimits(map);
    this->parseShape(map, pool);
    return pool;
}

EndpointLimits PoolParser::parseLimits(const SchemaMap &map)
{
    EndpointLimits limits;
    limits.slots = static_cast<int>(map.integer("slots", 1, maxSlots));
    limits.connections = static_cast<int>(map.integer("connections", minConnections, maxConnections));
    limits.coldSlots = static_cast<int>(map.integer("cold-slots", 1, maxSlots, 1));
    limits.service = Milliseconds(map.integer("service-ms", 1, maxServiceMs, limits.service.count()));
    if (limits.coldSlots > limits.slots) {
        map.problem(CatalogueError::OutOfRange,
                    map.lineOf("cold-slots"),
                    "cold-slots must be at most slots, which is " + std::to_string(limits.slots) + ", got "
                        + std::to_string(limits.coldSlots));
    }
    return limits;
}

void PoolParser::parseShape(const SchemaMap &map, Pool &pool)
{
    pool.sharded = map.has("groups");
    if (pool.sharded && map.has("endpoints")) {
        map.problem(CatalogueError::Conflict,
                    map.lineOf("endpoints"),
                    "must have either groups (with shards) or endpoints (without), got both");
    } else if (pool.sharded) {
        map.entries("groups", "group", [&](const std::string &id, const YamlValue &value) {
            const SchemaMap group(value, map.item() + ", " + itemText("group", id), { "endpoints" }, this->problems);
            pool.groups.push_back({ GroupId(id), this->parseEndpoints(group, pool.id) });
        });
        if (pool.groups.empty()) {
            map.problem(CatalogueError::Empty, map.lineOf("groups"), "groups must have at least one entry");
        }
        this->parseSnapshots(map, pool);
    } else if (map.has("endpoints")) {
        pool.groups = cut(this->parseEndpoints(map, pool.id));
    } else {
        map.problem(CatalogueError::MissingKey, map.line(), "must have groups (with shards) or endpoints (without)");
    }
    if (!pool.sharded && map.has("snapshots")) {
        map.problem(CatalogueError::Conflict, map.lineOf("snapshots"), "only a pool with groups may have snapshots");
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
        map.problem(CatalogueError::Empty, present->line, "endpoints must have at least one entry");
    }
    return endpoints;
}

Endpoint PoolParser::parseEndpoint(const YamlValue &value, const PoolId &pool)
{
    std::string item = itemText("pool", pool.value()) + ", endpoint";
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
    endpoint.leaving = map.choice("state", { "live", "leaving" }) == 1;
    if (!endpoint.zone.value().empty() && this->zones.count(endpoint.zone) == 0) {
        map.problem(CatalogueError::UnknownZone,
                    map.lineOf("zone"),
                    "zone must be one of the zones of the catalogue, got " + quoted(endpoint.zone.value()));
    }
    this->checkUnique(map, endpoint);
    return endpoint;
}

void PoolParser::checkUnique(const SchemaMap &map, const Endpoint &endpoint)
{
    if (!endpoint.id.value().empty() && !this->endpointIds.insert(endpoint.id).second) {
        map.problem(CatalogueError::Duplicate,
                    map.lineOf("id"),
                    "endpoint id " + quoted(endpoint.id.value()) + " is present twice");
    }
    if (endpoint.port == 0) {
        return;
    }
    // Two ids for one server would double its slots and its connection cap.
    const auto [other, added] = this->addresses.emplace(std::pair(endpoint.host, endpoint.port), endpoint.id);
    if (!added) {
        map.problem(CatalogueError::Duplicate,
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
            map.problem(CatalogueError::OutOfRange,
                        value.line,
                        "snapshots must be listed oldest first, got version " + std::to_string(snapshot.version.value())
                            + " after " + std::to_string(pool.snapshots.back().version.value()));
        } else if (!pool.snapshots.empty() && snapshot.version == pool.snapshots.back().version) {
            map.problem(CatalogueError::Duplicate,
                        value.line,
                        "snapshot " + std::to_string(snapshot.version.value()) + " is present twice");
        }
        pool.snapshots.push_back(std::move(snapshot));
    }
    if (present != nullptr && present->kind == YamlValue::Kind::Sequence && list.empty()) {
        map.problem(CatalogueError::Empty, present->line, "snapshots must have at least one entry");
    }
}

Snapshot PoolParser::parseSnapshot(const YamlValue &value, const Pool &pool, const std::set<GroupId> &groups)
{
    const SchemaMap map(
        value, itemText("pool", pool.id.value()) + ", snapshot", { "version", "documents" }, this->problems);
    Snapshot snapshot;
    snapshot.version = SnapshotVersion(
        static_cast<std::uint64_t>(map.integer("version", 1, std::numeric_limits<std::int64_t>::max())));
    const YamlValue *documents = map.find("documents");
    map.entries("documents", "group", [&](const std::string &id, const YamlValue &count) {
        const std::string label = "documents of " + itemText("group", id);
        snapshot.documents[GroupId(id)] = static_cast<std::uint64_t>(map.integerAt(label, count, 0, maxDocuments));
        if (groups.count(GroupId(id)) == 0) {
            map.problem(
                CatalogueError::UnknownGroup, count.line, "documents must name groups of the pool, got " + quoted(id));
        }
    });
    if (documents != nullptr && documents->kind == YamlValue::Kind::Map && snapshot.documents.empty()) {
        map.problem(CatalogueError::Empty, documents->line, "documents must have at least one entry");
    }
    return snapshot;
}

}
