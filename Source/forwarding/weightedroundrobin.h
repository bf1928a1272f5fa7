#pragma once

#include "forwarding/routetable.h"

#include <unordered_map>

namespace Lycheewall
{

/**
 * Distributes the requests of each route over its services in proportion to their weights, by smooth weighted round
 * robin: the proportion also holds over a short run of requests.
 * Thread safety: none; used on the thread of the request loop.
 */
class WeightedRoundRobin
{
public:
    /// Returns the service for the next request of @p route. Precondition: the route has services. Services of weight 0
    /// are never selected unless all weights are 0.
    const ServiceId &nextService(const Route &route);

private:
    struct WeightedEntry
    {
        ServiceId service;
        double weight = 0;
        double credit = 0;
    };

    /// Entries of the route with their credits; the credits restart at 0 when the services or weights have changed.
    std::vector<WeightedEntry> &entriesFor(const Route &route);

    std::unordered_map<std::string, std::vector<WeightedEntry>> entriesByRoute;
};

}
