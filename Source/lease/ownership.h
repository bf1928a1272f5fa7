#pragma once

#include "core/strongid.h"

namespace Lycheewall
{

/**
 * Whether this daemon owns a resource at this very moment.
 * Thread safety: any thread.
 */
class Ownership
{
public:
    virtual ~Ownership() = default;

    /// True while the lease on @p resource is valid and the daemon is not cut off. Ask right before each admission and
    /// each dispatch, because a paused process may have lost the lease meanwhile.
    virtual bool owns(const ResourceId &resource) const = 0;
};

/// "group/<pool>/<group>"
ResourceId groupResource(const PoolId &pool, const GroupId &group);
/// "organisation/<id>"
ResourceId organisationResource(const OrganisationId &organisation);

}
