#include "fleet/activeinstanceset.h"

#include <algorithm>
#include <numeric>

namespace Lycheewall
{

namespace
{

/// Fewest instances that carry the work of a zone, so that the loss of one leaves another.
constexpr std::size_t leastServing = 2;
/// Share of its processor that an instance carries before another one is added, and the share below which one is
/// taken away.
constexpr double fullLoad = 0.4;
constexpr double lowLoad = 0.25;
/// Part of the fleet's limits that is divided among the instances that carry work. The others need some for callers
/// that keep older addresses.
constexpr double servingPart = 0.75;

bool strongerFirst(const InstanceInfo &left, const InstanceInfo &right)
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
    return this->carrying(zone, std::move(candidates));
}

std::vector<InstanceInfo> ActiveInstanceSet::carrying(const ZoneId &zone, std::vector<InstanceInfo> candidates)
{
    if (candidates.empty() || !this->members.isLargeFleet()) {
        return candidates;
    }
    std::sort(candidates.begin(), candidates.end(), &strongerFirst);
    std::size_t &size = this->sizes[zone];
    size = this->neededOf(candidates, size);
    candidates.resize(size);
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
        const std::vector<InstanceInfo> chosen = this->carrying(zone, std::move(candidates));
        result.insert(result.end(), chosen.begin(), chosen.end());
    }
    return result;
}

std::size_t ActiveInstanceSet::neededOf(const std::vector<InstanceInfo> &candidates, std::size_t before) const
{
    const double load
        = std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const InstanceInfo &instance) {
              return sum + instance.cpuUsage.usedCores;
          });
    // Callers spread evenly, so the weakest instance decides.
    const auto carries = [&candidates, load](std::size_t size, double share) {
        return load <= share * static_cast<double>(size) * candidates[size - 1].cpuUsage.availableCores;
    };
    const std::size_t least = std::min(leastServing, candidates.size());
    std::size_t size = least;
    while (size < candidates.size() && !carries(size, size < before ? lowLoad : fullLoad)) {
        ++size;
    }
    return size;
}

bool ActiveInstanceSet::isSelfActive()
{
    const std::vector<InstanceInfo> chosen = this->inZone(this->own.zone);
    return std::any_of(chosen.begin(), chosen.end(), [this](const InstanceInfo &instance) {
        return instance.instance == this->own.instance;
    });
}

double ActiveInstanceSet::ownFleetShare()
{
    const std::size_t all = this->members.knownCount();
    if (all <= maxFullMeshPeers + 1) {
        return 1.0 / static_cast<double>(all);
    }
    const std::size_t serving = this->inAllZones().size();
    // Silent instances may still carry work.
    const std::size_t silent = all - this->members.liveCount();
    if (this->isSelfActive()) {
        return servingPart / static_cast<double>(serving + silent);
    }
    return (1 - servingPart) / static_cast<double>(std::max<std::size_t>(1, all - serving));
}

}
