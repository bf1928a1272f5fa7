#include "forwarding/weightedroundrobin.h"

#include <algorithm>

namespace Lycheewall
{

std::vector<WeightedRoundRobin::Share> &WeightedRoundRobin::sharesOf(const Route &route)
{
    std::vector<Share> &shares = this->sharesByRoute[route.name];
    const auto same = [](const Share &share, const WeightedService &backend) {
        return share.service == backend.service && share.weight == backend.weight;
    };
    if (std::equal(shares.begin(), shares.end(), route.services.begin(), route.services.end(), same)) {
        return shares;
    }
    shares.clear();
    for (const WeightedService &backend : route.services) {
        shares.push_back({ backend.service, backend.weight, 0 });
    }
    return shares;
}

const ServiceId &WeightedRoundRobin::nextService(const Route &route)
{
    std::vector<Share> &shares = this->sharesOf(route);
    double total = 0;
    Share *best = &shares.front();
    for (Share &share : shares) {
        share.credit += share.weight;
        total += share.weight;
        if (share.credit > best->credit) {
            best = &share;
        }
    }
    best->credit -= total;
    return best->service;
}

}
