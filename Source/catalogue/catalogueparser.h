#pragma once

#include "catalogue/schemamap.h"

#include <map>

namespace Lycheewall
{

/// Parses YAML text into a Catalogue or a list of all its problems. Thread safety: none; one parser parses one text.
class CatalogueParser
{
public:
    explicit CatalogueParser(const std::string &file);

    /// See Catalogue::parse(). Precondition: it has not been called before.
    ResultOr<Catalogue, std::vector<CatalogueProblem>> parse(const std::string &text);

private:
    void parseDocument(const YamlValue &root);
    void parseZones(const SchemaMap &map);
    void parsePools(const SchemaMap &map);
    Organisation parseOrganisation(const std::string &id, const YamlValue &value);
    void parseKeys(const SchemaMap &map, Organisation &organisation);
    void parseAllowedPools(const SchemaMap &map, Organisation &organisation);

    ProblemList problems;
    Catalogue catalogue;
    std::map<KeyHash, OrganisationId> organisationByKeyHash;
};

}
