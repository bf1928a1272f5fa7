#pragma once

#include "core/refusal.h"
#include "forwarding/forwardingcontext.h"

#include <map>

namespace Lycheewall
{

/// The shards that are left out of a reply, by their index in Route::shards, with the reason.
using SkippedShards = std::map<std::size_t, Refusal>;

/// Which shards of a query are sent to an endpoint.
struct ShardSelection
{
    SkippedShards skipped;
    /// Set if the query cannot reach the required coverage now because the endpoints of too many shards take no more
    /// requests of this instance: the time after which a retry can succeed.
    std::optional<Duration> retryAfter;
};

/**
 * Selects the shards of a query before anything is sent. As far as the required coverage allows, it leaves out shards
 *  - whose endpoints take no more requests of this instance,
 *  - that are close to it, so that the queries take turns in leaving them out,
 *  - whose endpoints are all so loaded that they would respond only after the objective: a request would only keep them
 *    from responding to any request on time.
 */
ShardSelection selectShards(const ForwardingContext &context, const AdmittedRequest &request);

/// Returns what selectShards() would select now, and records nothing. ShardSelection::retryAfter is the time until a
/// retry can succeed, without the random time by which selectShards() extends it.
ShardSelection peekShards(const ForwardingContext &context, const AdmittedRequest &request);

/// The shards that should be relayed by another instance: no healthy endpoint is in the zone of this one. Empty if the
/// route allows no second attempt or there is no relay. @p skipped is left out.
std::vector<ServiceId>
relayableShards(const ForwardingContext &context, const AdmittedRequest &request, const SkippedShards &skipped);

}
