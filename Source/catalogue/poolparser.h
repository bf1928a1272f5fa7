#pragma once

#include "catalogue/schemamap.h"

#include <map>
#include <set>

namespace Lycheewall
{

/// Reads the pools of a catalogue. Thread safety: none; lives inside one parser call.
class PoolParser
{
public:
    /// Both references must outlive the parser.
    PoolParser(const std::set<ZoneId> &knownZones, ProblemList &list);

    /// Reads one pool; each problem is noted. Endpoint ids and addresses are unique over all pools read.
    Pool parse(const std::string &id, const YamlValue &value);

private:
    static EndpointLimits parseLimits(const SchemaMap &map);
    void parseShape(const SchemaMap &map, Pool &pool);
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

/// The class of work of a pool or organisation; required.
WorkClass parseWorkClass(const SchemaMap &map);

}
