#include "routing/groupchooser.h"

#include "membership/rendezvoushash.h"

namespace Lycheewall
{

namespace
{

GroupId groupOfKey(const std::vector<const Group *> &groups, const std::string &key)
{
    const Group *best = groups.front();
    std::uint64_t bestWeight = 0;
    for (const Group *group : groups) {
        const std::uint64_t weight = RendezvousHash::weight(key, group->id.value());
        if (weight > bestWeight) {
            best = group;
            bestWeight = weight;
        }
    }
    return best->id;
}

}

GroupChooser::GroupChooser(Random &randomSource)
    : random(randomSource)
{
}

std::optional<GroupId>
GroupChooser::choose(const Pool &pool, const std::optional<std::string> &key, const std::set<GroupId> &tried)
{
    std::vector<const Group *> open;
    for (const Group &group : pool.groups) {
        if (tried.count(group.id) == 0) {
            open.push_back(&group);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    if (key) {
        return groupOfKey(open, *key);
    }
    const GroupId first = open[this->random.uniformInteger(open.size())]->id;
    const GroupId second = open[this->random.uniformInteger(open.size())]->id;
    const std::lock_guard lock(this->mutex);
    return this->inFlight[{ pool.id, second }] < this->inFlight[{ pool.id, first }] ? second : first;
}

void GroupChooser::started(const PoolId &pool, const GroupId &group)
{
    const std::lock_guard lock(this->mutex);
    ++this->inFlight[{ pool, group }];
}

void GroupChooser::finished(const PoolId &pool, const GroupId &group)
{
    const std::lock_guard lock(this->mutex);
    --this->inFlight[{ pool, group }];
}

}
