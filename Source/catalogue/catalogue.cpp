#include "catalogue/catalogue.h"

#include "catalogue/catalogueparser.h"

#include <algorithm>

namespace Lycheewall
{

const Group *Pool::findGroup(const GroupId &group) const
{
    const auto found
        = std::find_if(this->groups.begin(), this->groups.end(), [&](const Group &entry) { return entry.id == group; });
    return found == this->groups.end() ? nullptr : &*found;
}

const Snapshot *Pool::findSnapshot(SnapshotVersion version) const
{
    const auto found = std::find_if(this->snapshots.begin(), this->snapshots.end(), [&](const Snapshot &entry) {
        return entry.version == version;
    });
    return found == this->snapshots.end() ? nullptr : &*found;
}

ResultOr<Catalogue, std::vector<CatalogueProblem>> Catalogue::parse(const std::string &text, const std::string &file)
{
    return CatalogueParser(file).parse(text);
}

const std::string &Catalogue::deployment() const
{
    return this->deploymentName;
}

const std::map<PoolId, Pool> &Catalogue::pools() const
{
    return this->poolById;
}

const std::map<OrganisationId, Organisation> &Catalogue::organisations() const
{
    return this->organisationById;
}

const std::set<ZoneId> &Catalogue::zones() const
{
    return this->allZones;
}

const std::set<ZoneId> &Catalogue::drainedZones() const
{
    return this->drained;
}

const Pool *Catalogue::findPool(const PoolId &pool) const
{
    const auto found = this->poolById.find(pool);
    return found == this->poolById.end() ? nullptr : &found->second;
}

const Organisation *Catalogue::findOrganisation(const OrganisationId &organisation) const
{
    const auto found = this->organisationById.find(organisation);
    return found == this->organisationById.end() ? nullptr : &found->second;
}

bool Catalogue::isDrained(const ZoneId &zone) const
{
    return this->drained.count(zone) != 0;
}

}
