#include "forwarding/endpointqueues.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

double queuePerSlot(const ServiceEndpoint &endpoint, TimePoint now)
{
    const double load = endpoint.stats.inFlight() + endpoint.stats.estimatedRemoteInFlight(now);
    const double slots = std::max(1, endpoint.record.slots);
    return std::max(0.0, load - slots) / slots * endpoint.stats.workFactor(now);
}

double medianOf(std::vector<double> &values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

bool EndpointQueues::areReported(const EndpointSet &endpoints, const ServiceId &service)
{
    if (endpoints.workFactorsOf(service) != ServiceLoadModel::WorkFactors::Reported) {
        return false;
    }
    const std::vector<EndpointPtr> &candidates = endpoints.endpointsOf(service);
    return std::any_of(candidates.begin(), candidates.end(), [](const EndpointPtr &endpoint) {
        return endpoint->isAvailable() && endpoint->stats.reportsWorkFactor();
    });
}

double EndpointQueues::longest(const EndpointSet &endpoints, const ServiceId &service, TimePoint now)
{
    double longestQueue = 0;
    for (const EndpointPtr &endpoint : endpoints.endpointsOf(service)) {
        if (endpoint->isAvailable()) {
            longestQueue = std::max(longestQueue, queuePerSlot(*endpoint, now));
        }
    }
    return longestQueue;
}

double EndpointQueues::median(const EndpointSet &endpoints, const ServiceId &service, TimePoint now)
{
    std::vector<double> queues;
    for (const EndpointPtr &endpoint : endpoints.endpointsOf(service)) {
        if (endpoint->isAvailable()) {
            queues.push_back(queuePerSlot(*endpoint, now));
        }
    }
    return medianOf(queues);
}

double EndpointQueues::medianOfShards(const EndpointSet &endpoints, const std::vector<ServiceId> &shards, TimePoint now)
{
    std::vector<double> queues;
    queues.reserve(shards.size());
    for (const ServiceId &shard : shards) {
        queues.push_back(longest(endpoints, shard, now));
    }
    return medianOf(queues);
}

}
