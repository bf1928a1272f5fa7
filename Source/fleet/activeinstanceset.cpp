#include "fleet/activeinstanceset.h"

#include <algorithm>
#include <numeric>

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

std::vector<InstanceInfo> ActiveInstanceSet::readyInstances() const
{
    std::vector<InstanceInfo> result;
    if (this->own.ready) {
        result.push_back(this->own);
    }
    for (const Member *member : this->members.liveMembers()) {
        const GossipMessage &latest = member->lastMessage;
        if (latest.state == MemberState::Ready) {
            result.push_back(
                { latest.instance, latest.zone, latest.callerAddress, latest.peerAddress, true, latest.cpuUsage });
        }
    }
    return result;
}

std::vector<InstanceInfo> ActiveInstanceSet::inZone(const ZoneId &zone)
{
    std::vector<InstanceInfo> candidates = this->readyInstances();
    candidates.erase(std::remove_if(candidates.begin(),
                                    candidates.end(),
                                    [&zone](const InstanceInfo &instance) { return instance.zone != zone; }),
                     candidates.end());
    return this->selectActive(zone, std::move(candidates));
}

std::vector<InstanceInfo> ActiveInstanceSet::selectActive(const ZoneId &zone, std::vector<InstanceInfo> candidates)
{
    if (candidates.empty() || !this->members.isLargeFleet()) {
        return candidates;
    }
    std::sort(candidates.begin(), candidates.end(), &hasMoreCores);
    std::size_t &count = this->activeCounts[zone];
    count = this->requiredCount(candidates, count);
    candidates.resize(count);
    return candidates;
}

std::vector<InstanceInfo> ActiveInstanceSet::inAllZones()
{
    std::map<ZoneId, std::vector<InstanceInfo>> byZone;
    for (InstanceInfo &instance : this->readyInstances()) {
        byZone[instance.zone].push_back(std::move(instance));
    }
    std::vector<InstanceInfo> result;
    for (auto &[zone, candidates] : byZone) {
        const std::vector<InstanceInfo> active = this->selectActive(zone, std::move(candidates));
        result.insert(result.end(), active.begin(), active.end());
    }
    return result;
}

std::size_t ActiveInstanceSet::requiredCount(const std::vector<InstanceInfo> &candidates,
                                             std::size_t previousCount) const
{
    const double load
        = std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const InstanceInfo &instance) {
              return sum + instance.cpuUsage.usedCores;
          });
    // Callers distribute their requests evenly, so the instance with the fewest cores is the bottleneck.
    const auto canServe = [&candidates, load](std::size_t count, double utilisation) {
        return load <= utilisation * static_cast<double>(count) * candidates[count - 1].cpuUsage.availableCores;
    };
    const std::size_t minimum = std::min(minActivePerZone, candidates.size());
    std::size_t count = minimum;
    while (count < candidates.size()
           && !canServe(count, count < previousCount ? scaleDownUtilisation : scaleUpUtilisation)) {
        ++count;
    }
    return count;
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
    const std::size_t activeCount = this->inAllZones().size();
    // Unreachable instances may still be active.
    const std::size_t unreachable = known - this->members.liveCount();
    if (this->isSelfActive()) {
        return activeLimitFraction / static_cast<double>(activeCount + unreachable);
    }
    return (1 - activeLimitFraction) / static_cast<double>(std::max<std::size_t>(1, known - activeCount));
}

}
