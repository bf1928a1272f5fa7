#pragma once

#include "forwarding/routetable.h"

#include <unordered_map>

namespace Lycheewall
{

/**
 * Distributes the requests of each route over its services in proportion to their weights, evenly at any moment
 * (smooth weighted round robin).
 * Thread safety: none; used on the thread of the request loop.
 */
class WeightedRoundRobin
{
public:
    /// Precondition: the route has services. Services of weight 0 are never chosen unless all weights are 0.
    const ServiceId &nextService(const Route &route);

private:
    struct Share
    {
        ServiceId service;
        double weight = 0;
        double credit = 0;
    };

    std::vector<Share> &sharesOf(const Route &route);

    std::unordered_map<std::string, std::vector<Share>> sharesByRoute;
};

}
