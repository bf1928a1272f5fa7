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

    /// Returns what nextService() would return now, and changes nothing. Precondition: the route has services.
    ServiceId peekNextService(const Route &route) const;

private:
    struct WeightedEntry
    {
        ServiceId service;
        double weight = 0;
        double credit = 0;
    };

    /// Restarts the credits at 0 if the services or weights of the route have changed.
    static void updateEntries(std::vector<WeightedEntry> &entries, const Route &route);
    /// Selects the next service and updates the credits.
    static const ServiceId &selectNext(std::vector<WeightedEntry> &entries);

    std::unordered_map<std::string, std::vector<WeightedEntry>> entriesByRoute;
};

}
