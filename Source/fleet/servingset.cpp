#include "fleet/servingset.h"

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

bool strongerFirst(const ServingInstance &left, const ServingInstance &right)
{
    if (left.processor.available != right.processor.available) {
        return left.processor.available > right.processor.available;
    }
    return left.instance < right.instance;
}

}

ServingSet::ServingSet(const MemberTable &memberTable, const ServingInstance &ownInstance)
    : members(memberTable)
    , own(ownInstance)
{
}

std::vector<ServingInstance> ServingSet::ready() const
{
    std::vector<ServingInstance> result;
    if (this->own.ready) {
        result.push_back(this->own);
    }
    for (const Member *member : this->members.alive()) {
        const FleetMessage &latest = member->latest;
        if (latest.state == MemberState::Ready) {
            result.push_back(
                { latest.instance, latest.zone, latest.callerAddress, latest.peerAddress, true, latest.processor });
        }
    }
    return result;
}

std::vector<ServingInstance> ServingSet::ofZone(const ZoneId &zone)
{
    std::vector<ServingInstance> candidates = this->ready();
    candidates.erase(std::remove_if(candidates.begin(),
                                    candidates.end(),
                                    [&zone](const ServingInstance &instance) { return instance.zone != zone; }),
                     candidates.end());
    return this->carrying(zone, std::move(candidates));
}

std::vector<ServingInstance> ServingSet::carrying(const ZoneId &zone, std::vector<ServingInstance> candidates)
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

std::vector<ServingInstance> ServingSet::ofAllZones()
{
    std::map<ZoneId, std::vector<ServingInstance>> byZone;
    for (ServingInstance &instance : this->ready()) {
        byZone[instance.zone].push_back(std::move(instance));
    }
    std::vector<ServingInstance> result;
    for (auto &[zone, candidates] : byZone) {
        const std::vector<ServingInstance> chosen = this->carrying(zone, std::move(candidates));
        result.insert(result.end(), chosen.begin(), chosen.end());
    }
    return result;
}

std::size_t ServingSet::neededOf(const std::vector<ServingInstance> &candidates, std::size_t before) const
{
    const double load
        = std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const ServingInstance &instance) {
              return sum + instance.processor.used;
          });
    // Callers spread evenly, so the weakest instance decides.
    const auto carries = [&candidates, load](std::size_t size, double share) {
        return load <= share * static_cast<double>(size) * candidates[size - 1].processor.available;
    };
    const std::size_t least = std::min(leastServing, candidates.size());
    std::size_t size = least;
    while (size < candidates.size() && !carries(size, size < before ? lowLoad : fullLoad)) {
        ++size;
    }
    return size;
}

bool ServingSet::carriesWork()
{
    const std::vector<ServingInstance> chosen = this->ofZone(this->own.zone);
    return std::any_of(chosen.begin(), chosen.end(), [this](const ServingInstance &instance) {
        return instance.instance == this->own.instance;
    });
}

double ServingSet::ownShare()
{
    const std::size_t all = this->members.possibleCount();
    if (all <= smallFleet + 1) {
        return 1.0 / static_cast<double>(all);
    }
    const std::size_t serving = this->ofAllZones().size();
    // Silent instances may still carry work.
    const std::size_t silent = all - this->members.heardCount();
    if (this->carriesWork()) {
        return servingPart / static_cast<double>(serving + silent);
    }
    return (1 - servingPart) / static_cast<double>(std::max<std::size_t>(1, all - serving));
}

}
