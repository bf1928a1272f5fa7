#include "catalogue/catalogueparser.h"

#include "catalogue/poolparser.h"

#include <optional>

namespace Lycheewall
{

namespace
{

/// Requests per second, far above the 1.1 million requests per second of the whole fleet at its size in two years.
constexpr double maxRate = 1e9;
constexpr std::string_view keyHashPrefix = "sha256:";

std::optional<unsigned> hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return std::nullopt;
}

std::optional<KeyHash> parseKeyHash(const std::string &text)
{
    KeyHash hash {};
    if (text.size() != keyHashPrefix.size() + 2 * hash.size()
        || text.compare(0, keyHashPrefix.size(), keyHashPrefix) != 0) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < hash.size(); ++index) {
        const auto high = hexDigit(text[keyHashPrefix.size() + 2 * index]);
        const auto low = hexDigit(text[keyHashPrefix.size() + 2 * index + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        hash.at(index) = static_cast<unsigned char>(*high * 16 + *low);
    }
    return hash;
}

}

CatalogueParser::CatalogueParser(const std::string &file)
    : problems(file)
{
}

ResultOr<Catalogue, std::vector<CatalogueProblem>> CatalogueParser::parse(const std::string &text)
{
    const auto root = readYaml(text, this->problems);
    if (root) {
        this->parseDocument(*root);
    }
    if (!this->problems.empty()) {
        return failure(this->problems.takeProblems());
    }
    return success(std::move(this->catalogue));
}

void CatalogueParser::parseDocument(const YamlValue &root)
{
    const SchemaMap map(
        root, "catalogue", { "deployment", "zones", "drained-zones", "pools", "organisations" }, this->problems);
    if (root.kind != YamlValue::Kind::Map) {
        return;
    }
    this->catalogue.deploymentName = map.text("deployment");
    this->parseZones(map);
    this->parsePools(map);
    map.forEachEntry("organisations", "organisation", [&](const std::string &id, const YamlValue &value) {
        this->catalogue.organisationById.emplace(OrganisationId(id), this->parseOrganisation(id, value));
    });
}

void CatalogueParser::parseZones(const SchemaMap &map)
{
    for (std::string &zone : map.names("zones", "zone")) {
        this->catalogue.allZones.insert(ZoneId(std::move(zone)));
    }
    const YamlValue *zones = map.find("zones");
    if (zones != nullptr && zones->kind == YamlValue::Kind::Sequence && zones->items.empty()) {
        map.addProblem(CatalogueError::Empty, zones->line, "zones must have at least one entry");
    }
    if (!map.has("drained-zones")) {
        return;
    }
    for (std::string &name : map.names("drained-zones", "zone")) {
        ZoneId zone(std::move(name));
        if (this->catalogue.allZones.count(zone) == 0) {
            map.addProblem(CatalogueError::UnknownZone,
                           map.lineOf("drained-zones"),
                           "drained-zones must name zones of the catalogue, got " + quoted(zone.value()));
        }
        this->catalogue.drained.insert(std::move(zone));
    }
}

void CatalogueParser::parsePools(const SchemaMap &map)
{
    PoolParser parser(this->catalogue.allZones, this->problems);
    map.forEachEntry("pools", "pool", [&](const std::string &id, const YamlValue &value) {
        this->catalogue.poolById.emplace(PoolId(id), parser.parse(id, value));
    });
    const YamlValue *pools = map.find("pools");
    // Otherwise a file that lost its pools in an edit would stop all service.
    if (pools != nullptr && pools->kind == YamlValue::Kind::Map && pools->items.empty()) {
        map.addProblem(CatalogueError::Empty, pools->line, "pools must have at least one entry");
    }
}

Organisation CatalogueParser::parseOrganisation(const std::string &id, const YamlValue &value)
{
    const SchemaMap map(value,
                        describeItem("organisation", id),
                        { "owner", "class", "rate", "burst", "pools", "keys" },
                        this->problems);
    Organisation organisation;
    organisation.id = OrganisationId(id);
    organisation.owner = map.text("owner");
    organisation.workClass = parseWorkClass(map);
    organisation.rate = map.number("rate", 0, maxRate);
    organisation.burst = map.number("burst", 1, maxRate);
    this->parseAllowedPools(map, organisation);
    this->parseKeys(map, organisation);
    return organisation;
}

void CatalogueParser::parseAllowedPools(const SchemaMap &map, Organisation &organisation)
{
    for (std::string &name : map.names("pools", "pool")) {
        PoolId pool(std::move(name));
        if (this->catalogue.poolById.count(pool) == 0) {
            map.addProblem(CatalogueError::UnknownPool,
                           map.lineOf("pools"),
                           "pools must name pools of the catalogue, got " + quoted(pool.value()));
        }
        organisation.pools.insert(std::move(pool));
    }
}

void CatalogueParser::parseKeys(const SchemaMap &map, Organisation &organisation)
{
    std::size_t position = 0;
    for (const YamlValue &entry : map.list("keys")) {
        ++position;
        // The message does not quote the entry, which may be an API key that was pasted in place of its hash.
        const auto hash = entry.kind == YamlValue::Kind::Scalar ? parseKeyHash(entry.text) : std::nullopt;
        if (!hash) {
            map.addProblem(CatalogueError::BadKeyHash,
                           entry.line,
                           "entry " + std::to_string(position)
                               + " of keys must be \"sha256:\" and 64 hexadecimal digits");
            continue;
        }
        const auto [owner, added] = this->organisationByKeyHash.emplace(*hash, organisation.id);
        if (!added) {
            map.addProblem(CatalogueError::Duplicate,
                           entry.line,
                           "entry " + std::to_string(position) + " of keys belongs to "
                               + describeItem("organisation", owner->second.value()) + " already");
        }
        organisation.keys.push_back(*hash);
    }
}

}
