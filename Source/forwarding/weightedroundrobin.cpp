#include "forwarding/weightedroundrobin.h"

#include <algorithm>

namespace Lycheewall
{

void WeightedRoundRobin::updateEntries(std::vector<WeightedEntry> &entries, const Route &route)
{
    const auto isSameEntry = [](const WeightedEntry &entry, const WeightedService &weighted) {
        return entry.service == weighted.service && entry.weight == weighted.weight;
    };
    if (std::equal(entries.begin(), entries.end(), route.services.begin(), route.services.end(), isSameEntry)) {
        return;
    }
    entries.clear();
    for (const WeightedService &weighted : route.services) {
        entries.push_back({ weighted.service, weighted.weight, 0 });
    }
}

const ServiceId &WeightedRoundRobin::selectNext(std::vector<WeightedEntry> &entries)
{
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

const ServiceId &WeightedRoundRobin::nextService(const Route &route)
{
    std::vector<WeightedEntry> &entries = this->entriesByRoute[route.name];
    updateEntries(entries, route);
    return selectNext(entries);
}

ServiceId WeightedRoundRobin::peekNextService(const Route &route) const
{
    const auto known = this->entriesByRoute.find(route.name);
    std::vector<WeightedEntry> entries;
    if (known != this->entriesByRoute.end()) {
        entries = known->second;
    }
    updateEntries(entries, route);
    return selectNext(entries);
}

}
