#include "lease/ownership.h"

namespace Lycheewall
{

ResourceId groupResource(const PoolId &pool, const GroupId &group)
{
    return ResourceId("group/" + pool.value() + "/" + group.value());
}

ResourceId organisationResource(const OrganisationId &organisation)
{
    return ResourceId("organisation/" + organisation.value());
}

}
