#pragma once

#include "forwarding/forwardingcontext.h"

#include <set>

namespace Lycheewall
{

/// Which shards of a query are sent to an endpoint; shards are given by their index in Route::shards.
struct ShardSelection
{
    /// Shards that are left out of the reply.
    std::set<std::size_t> skipped;
    /// Set if the query cannot reach the required coverage now because too many shards have used up the rate that their
    /// endpoints take: the time after which a retry can succeed.
    std::optional<Duration> retryAfter;
};

/**
 * Selects the shards of a query before anything is sent. As far as the required coverage allows, it leaves out shards
 *  - that have used up this instance's share of the rate that their endpoints take,
 *  - that are close to it, so that the queries take turns in leaving them out,
 *  - whose endpoints are all so loaded that they would respond only after the objective: a request would only keep them
 *    from responding to any request on time.
 */
ShardSelection selectShards(const ForwardingContext &context, const AdmittedRequest &request);

}
