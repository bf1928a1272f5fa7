#pragma once

#include "forwarding/endpointset.h"

namespace Lycheewall
{

/**
 * Requests that wait at endpoints for a free slot, estimated from the requests of this instance in flight and from the
 * load that the endpoints have reported. Lengths of queues are the number of waiting requests for each slot, multiplied
 * by the work factor of the endpoint. Only available endpoints count.
 * Thread safety: none; used on the thread of the request loop.
 */
namespace EndpointQueues
{

/// True if an endpoint of the service reports how long work takes there. Without it, the time that requests wait in a
/// queue cannot be estimated. Visits no endpoints if none of the service has reported it.
bool areReported(const EndpointSet &endpoints, const ServiceId &service);

/// The longest queue at the endpoints of the service. Load reports age within a moment, and estimates from older ones
/// are too low, so the endpoint that reported last tends to have the longest queue.
double longest(const EndpointSet &endpoints, const ServiceId &service, TimePoint now);

/// The median of the queues at the endpoints of the service.
double median(const EndpointSet &endpoints, const ServiceId &service, TimePoint now);

/// The median over the shards of their longest queues, 0 without shards. Pauses of some endpoints do not affect it.
double medianOfShards(const EndpointSet &endpoints, const std::vector<ServiceId> &shards, TimePoint now);

}

}
