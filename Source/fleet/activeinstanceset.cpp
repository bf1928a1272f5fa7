#include "fleet/activeinstanceset.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Minimum number of active instances of a zone, so that one remains when another is lost.
constexpr std::size_t minActivePerZone = 2;
/// CPU utilisation above which another instance becomes active, and the one below which an instance becomes standby.
constexpr double scaleUpUtilisation = 0.4;
constexpr double scaleDownUtilisation = 0.25;
/// Fraction of the fleet-wide limits that is divided among the active instances. Standby instances get the rest, for
/// callers that still use older addresses.
constexpr double activeLimitFraction = 0.75;

bool hasMoreCores(const InstanceInfo &left, const InstanceInfo &right)
{
    if (left.cpuUsage.availableCores != right.cpuUsage.availableCores) {
        return left.cpuUsage.availableCores > right.cpuUsage.availableCores;
    }
    return left.instance < right.instance;
}

}

ActiveInstanceSet::ActiveInstanceSet(const MemberTable &memberTable, const InstanceInfo &ownInstance)
    : members(memberTable)
    , own(ownInstance)
{
}

void ActiveInstanceSet::refresh()
{
    const bool isCurrent = this->collectedVersion == this->members.topologyVersion()
        && this->collectedOwnReady == this->own.ready && this->collectedOwnCores == this->own.cpuUsage.availableCores;
    if (isCurrent) {
        return;
    }
    for (auto &[id, zone] : this->zones) {
        zone.ready.clear();
    }
    if (this->own.ready) {
        this->zones[this->own.zone].ready.push_back(this->own);
    }
    for (const auto &[id, liveMembers] : this->members.liveMembersByZone()) {
        for (const Member *member : liveMembers) {
            const GossipMessage &latest = member->lastMessage;
            if (latest.state == MemberState::Ready) {
                this->zones[id].ready.push_back(
                    { latest.instance, id, latest.callerAddress, latest.peerAddress, true, latest.cpuUsage });
            }
        }
    }
    for (auto &[id, zone] : this->zones) {
        std::sort(zone.ready.begin(), zone.ready.end(), &hasMoreCores);
    }
    this->collectedVersion = this->members.topologyVersion();
    this->collectedOwnReady = this->own.ready;
    this->collectedOwnCores = this->own.cpuUsage.availableCores;
}

std::size_t ActiveInstanceSet::updateActiveCount(const ZoneId &id, Zone &zone) const
{
    if (zone.ready.empty() || !this->members.isLargeFleet()) {
        return zone.ready.size();
    }
    const double ownLoad = this->own.ready && this->own.zone == id ? this->own.cpuUsage.requestCores : 0;
    const double load = ownLoad + this->members.requestCores(id);
    // Callers distribute their requests evenly, so the instance with the fewest cores is the bottleneck.
    const auto canServe = [&zone, load](std::size_t count, double utilisation) {
        return load <= utilisation * static_cast<double>(count) * zone.ready[count - 1].cpuUsage.availableCores;
    };
    std::size_t count = std::min(minActivePerZone, zone.ready.size());
    while (count < zone.ready.size()
           && !canServe(count, count < zone.activeCount ? scaleDownUtilisation : scaleUpUtilisation)) {
        ++count;
    }
    zone.activeCount = count;
    return count;
}

std::vector<InstanceInfo> ActiveInstanceSet::inZone(const ZoneId &id)
{
    this->refresh();
    const auto entry = this->zones.find(id);
    if (entry == this->zones.end()) {
        return {};
    }
    Zone &zone = entry->second;
    const auto activeCount = static_cast<std::ptrdiff_t>(this->updateActiveCount(id, zone));
    return { zone.ready.begin(), zone.ready.begin() + activeCount };
}

std::vector<InstanceInfo> ActiveInstanceSet::inAllZones()
{
    this->refresh();
    std::vector<InstanceInfo> result;
    for (const auto &[id, zone] : this->zones) {
        const std::vector<InstanceInfo> active = this->inZone(id);
        result.insert(result.end(), active.begin(), active.end());
    }
    return result;
}

bool ActiveInstanceSet::isSelfActive()
{
    const std::vector<InstanceInfo> active = this->inZone(this->own.zone);
    return std::any_of(active.begin(), active.end(), [this](const InstanceInfo &instance) {
        return instance.instance == this->own.instance;
    });
}

double ActiveInstanceSet::ownFleetShare()
{
    const std::size_t known = this->members.knownCount();
    if (known <= maxFullMeshPeers + 1) {
        return 1.0 / static_cast<double>(known);
    }
    this->refresh();
    std::size_t activeCount = 0;
    for (auto &[id, zone] : this->zones) {
        activeCount += this->updateActiveCount(id, zone);
    }
    // Unreachable instances may still be active.
    const std::size_t unreachable = known - this->members.liveCount();
    if (this->isSelfActive()) {
        return activeLimitFraction / static_cast<double>(activeCount + unreachable);
    }
    return (1 - activeLimitFraction) / static_cast<double>(std::max<std::size_t>(1, known - activeCount));
}

}
