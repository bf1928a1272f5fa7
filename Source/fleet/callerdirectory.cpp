#include "fleet/callerdirectory.h"

namespace Lycheewall
{

CallerDirectory::CallerDirectory(const MemberTable &memberTable)
    : members(memberTable)
{
}

std::vector<std::string> CallerDirectory::addresses(const OwnAddress &own, const ZoneId &zone) const
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    const auto add = [&near, &all, &zone](const std::string &address, const ZoneId &addressZone) {
        all.push_back(address);
        if (addressZone == zone) {
            near.push_back(address);
        }
    };
    if (own.ready) {
        add(own.address, own.zone);
    }
    for (const Member *member : this->members.alive()) {
        if (member->latest.state == MemberState::Ready) {
            add(member->latest.callerAddress, member->latest.zone);
        }
    }
    return near.empty() ? all : near;
}

}
