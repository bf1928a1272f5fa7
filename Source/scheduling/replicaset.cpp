#include "scheduling/replicaset.h"

#include <algorithm>

namespace Lycheewall
{

ReplicaSet::ReplicaSet(const Pool &pool,
                       const Group &group,
                       const std::set<ZoneId> &drained,
                       const std::set<EndpointId> &knownWarm)
    : usualService(pool.limits.nominalServiceTime)
{
    for (const Endpoint &endpoint : group.endpoints) {
        const bool zoneDrained = drained.count(endpoint.zone) > 0;
        const bool warm = knownWarm.count(endpoint.id) > 0;
        EndpointState state(pool.limits, warm, !zoneDrained && !endpoint.draining);
        this->replicas.emplace(endpoint.id, Replica { std::move(state), true, zoneDrained });
    }
}

void ReplicaSet::update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained)
{
    this->usualService = pool.limits.nominalServiceTime;
    for (auto &[id, replica] : this->replicas) {
        replica.listed = false;
    }
    for (const Endpoint &endpoint : group.endpoints) {
        const bool zoneDrained = drained.count(endpoint.zone) > 0;
        const bool inService = !zoneDrained && !endpoint.draining;
        const auto known = this->replicas.find(endpoint.id);
        if (known == this->replicas.end()) {
            EndpointState state(pool.limits, false, inService);
            this->replicas.emplace(endpoint.id, Replica { std::move(state), true, zoneDrained });
            continue;
        }
        known->second.listed = true;
        known->second.zoneDrained = zoneDrained;
        known->second.state.update(pool.limits, inService);
    }
    for (auto entry = this->replicas.begin(); entry != this->replicas.end();) {
        Replica &replica = entry->second;
        if (!replica.listed) {
            replica.state.update(pool.limits, false);
        }
        const bool gone = !replica.listed && replica.state.running() == 0;
        entry = gone ? this->replicas.erase(entry) : std::next(entry);
    }
}

std::optional<EndpointId>
ReplicaSet::choose(const Wish &wish, std::size_t waitingBefore, TimePoint now, Random &random) const
{
    const Duration best = this->bestTypical();
    Candidates good;
    Candidates slow;
    Candidates tried;
    for (const auto &entry : this->replicas) {
        const EndpointState &state = entry.second.state;
        if (!state.hasRoom(now) || state.lacks(wish.snapshot, now) || wish.busy.count(entry.first) > 0) {
            continue;
        }
        if (wish.tried.count(entry.first) > 0) {
            tried.push_back(&entry);
        } else if (this->isSlow(entry.second, best, now)) {
            slow.push_back(&entry);
        } else {
            good.push_back(&entry);
        }
    }
    if (!good.empty()) {
        return leastLoaded(good, random)->first;
    }
    const int slots = this->usableSlots(wish, now);
    if (!slow.empty()) {
        const auto *candidate = leastLoaded(slow, random);
        const Duration wait
            = slots == 0 ? Duration::max() / 2 : best * static_cast<std::int64_t>(waitingBefore + 1) / slots;
        if (wait + best >= candidate->second.state.typical()) {
            return candidate->first;
        }
    }
    if (!tried.empty() && slots == 0) {
        return leastLoaded(tried, random)->first;
    }
    return std::nullopt;
}

const ReplicaSet::Entry *ReplicaSet::leastLoaded(Candidates &candidates, Random &random)
{
    const std::size_t offset = random.uniformInteger(candidates.size());
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(offset), candidates.end());
    return *std::min_element(candidates.begin(), candidates.end(), [](const Entry *left, const Entry *right) {
        const EndpointState &one = left->second.state;
        const EndpointState &other = right->second.state;
        return one.running() * other.limit() < other.running() * one.limit();
    });
}

Refusal ReplicaSet::obstacle(SnapshotVersion snapshot, TimePoint now) const
{
    Refusal reason = Refusal::EndpointDraining;
    for (const auto &[id, replica] : this->replicas) {
        if (replica.state.isInService()) {
            if (!replica.state.lacks(snapshot, now)) {
                return Refusal::None;
            }
            reason = Refusal::SnapshotUnavailable;
        } else if (replica.zoneDrained && reason == Refusal::EndpointDraining) {
            reason = Refusal::ZoneDrained;
        }
    }
    return reason;
}

Refusal ReplicaSet::stall(TimePoint now) const
{
    for (const auto &[id, replica] : this->replicas) {
        if (replica.state.isInService() && replica.state.pausedUntil() <= now) {
            return Refusal::None;
        }
    }
    return Refusal::EndpointUnavailable;
}

bool ReplicaSet::hasRoom(TimePoint now) const
{
    return std::any_of(this->replicas.begin(), this->replicas.end(), [&](const auto &entry) {
        return entry.second.state.hasRoom(now);
    });
}

std::optional<TimePoint> ReplicaSet::nextPauseEnd(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, replica] : this->replicas) {
        const TimePoint end = replica.state.pausedUntil();
        if (replica.state.isInService() && end > now && (!earliest || end < *earliest)) {
            earliest = end;
        }
    }
    return earliest;
}

EndpointState &ReplicaSet::at(const EndpointId &endpoint)
{
    return this->replicas.at(endpoint).state;
}

void ReplicaSet::forgetIfUnlisted(const EndpointId &endpoint)
{
    const auto entry = this->replicas.find(endpoint);
    if (entry != this->replicas.end() && !entry->second.listed && entry->second.state.running() == 0) {
        this->replicas.erase(entry);
    }
}

std::vector<EndpointId> ReplicaSet::cold() const
{
    std::vector<EndpointId> ids;
    for (const auto &[id, replica] : this->replicas) {
        if (replica.listed && replica.state.isCold()) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<EndpointReport> ReplicaSet::reports() const
{
    std::vector<EndpointReport> list;
    for (const auto &[id, replica] : this->replicas) {
        const EndpointState &state = replica.state;
        list.push_back(EndpointReport {
            id, state.limit(), state.running(), state.lateStreak(), state.isCold(), state.isInService() });
    }
    return list;
}

bool ReplicaSet::isSlow(const Replica &replica, Duration best, TimePoint now) const
{
    return replica.state.typical() > std::max(best, this->usualService) * slowFactor
        && replica.state.lastDispatch() + probeInterval > now;
}

Duration ReplicaSet::bestTypical() const
{
    Duration best = Duration::max() / slowFactor;
    for (const auto &[id, replica] : this->replicas) {
        if (replica.state.isInService()) {
            best = std::min(best, replica.state.typical());
        }
    }
    return best;
}

int ReplicaSet::usableSlots(const Wish &wish, TimePoint now) const
{
    const Duration best = this->bestTypical();
    int slots = 0;
    for (const auto &[id, replica] : this->replicas) {
        const EndpointState &state = replica.state;
        const bool usable = state.isInService() && state.pausedUntil() <= now && !state.lacks(wish.snapshot, now)
            && wish.busy.count(id) == 0 && wish.tried.count(id) == 0 && !this->isSlow(replica, best, now);
        if (usable) {
            slots += state.limit();
        }
    }
    return slots;
}

}
