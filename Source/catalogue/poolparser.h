#pragma once

#include "catalogue/schemamap.h"

#include <map>
#include <set>

namespace Lycheewall
{

/// Parses the pools of a catalogue. Thread safety: none; it is used within one call of a parser.
class PoolParser
{
public:
    /// Both references must outlive the parser.
    PoolParser(const std::set<ZoneId> &knownZones, ProblemList &list);

    /// Parses one pool and adds each problem to the problem list. Endpoint ids and addresses must be unique over all
    /// pools that this parser has parsed.
    Pool parse(const std::string &id, const YamlValue &value);

private:
    static EndpointLimits parseLimits(const SchemaMap &map);
    void parseGroups(const SchemaMap &map, Pool &pool);
    std::vector<Endpoint> parseEndpoints(const SchemaMap &map, const PoolId &pool);
    Endpoint parseEndpoint(const YamlValue &value, const PoolId &pool);
    void checkUnique(const SchemaMap &map, const Endpoint &endpoint);
    void parseSnapshots(const SchemaMap &map, Pool &pool);
    Snapshot parseSnapshot(const YamlValue &value, const Pool &pool, const std::set<GroupId> &groups);

    const std::set<ZoneId> &zones;
    ProblemList &problems;
    std::set<EndpointId> endpointIds;
    std::map<std::pair<std::string, std::uint16_t>, EndpointId> addresses;
};

/// Parses the required key "class" of a pool or an organisation.
WorkClass parseWorkClass(const SchemaMap &map);

}
