#include "forwarding/weightedroundrobin.h"

#include <algorithm>

namespace Lycheewall
{

std::vector<WeightedRoundRobin::WeightedEntry> &WeightedRoundRobin::entriesFor(const Route &route)
{
    std::vector<WeightedEntry> &entries = this->entriesByRoute[route.name];
    const auto isSameEntry = [](const WeightedEntry &entry, const WeightedService &weighted) {
        return entry.service == weighted.service && entry.weight == weighted.weight;
    };
    if (std::equal(entries.begin(), entries.end(), route.services.begin(), route.services.end(), isSameEntry)) {
        return entries;
    }
    entries.clear();
    for (const WeightedService &weighted : route.services) {
        entries.push_back({ weighted.service, weighted.weight, 0 });
    }
    return entries;
}

const ServiceId &WeightedRoundRobin::nextService(const Route &route)
{
    std::vector<WeightedEntry> &entries = this->entriesFor(route);
    double totalWeight = 0;
    WeightedEntry *best = &entries.front();
    for (WeightedEntry &entry : entries) {
        entry.credit += entry.weight;
        totalWeight += entry.weight;
        if (entry.credit > best->credit) {
            best = &entry;
        }
    }
    best->credit -= totalWeight;
    return best->service;
}

}
