#include "membership/panel.h"

#include "membership/rendezvoushash.h"

#include <algorithm>

namespace Lycheewall
{

Panel Panel::of(const ResourceId &resource, const InstanceList &list)
{
    std::vector<InstanceId> listed;
    listed.reserve(list.instances().size());
    for (const ListedInstance &instance : list.instances()) {
        listed.push_back(instance.id);
    }
    Panel panel;
    panel.ranked = RendezvousHash::top(resource.value(), listed, size);
    return panel;
}

const std::vector<InstanceId> &Panel::members() const
{
    return this->ranked;
}

std::size_t Panel::quorum() const
{
    const std::size_t count = this->ranked.size();
    if (count < 4) {
        // A plain majority: panels this small do not tolerate lists that exchange a member.
        return count / 2 + 1;
    }
    // Two such quorums meet even when the panels differ by one member: 2 * quorum > count + 1.
    return (count + 1) / 2 + 1;
}

bool Panel::contains(const InstanceId &instance) const
{
    return std::find(this->ranked.begin(), this->ranked.end(), instance) != this->ranked.end();
}

}
