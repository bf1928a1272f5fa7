#include "lease/ownershipplanner.h"

namespace Lycheewall
{

namespace
{

/// An owner that took a resource out of turn waits this many times longer before it hands over: the higher-ranked
/// instance did not manage to take it, for example because it sends but does not receive.
constexpr int outOfTurnFactor = 10;

/// A candidate that no quorum answers for this many lease periods gives back what it may have got. It is more than
/// one period, because voters of a fresh fleet are silent for that long.
constexpr int unansweredPeriods = 2;

}

OwnershipPlanner::OwnershipPlanner(LeaseSettings times,
                                   const Clock &timeSource,
                                   const PeerTable &peerTable,
                                   InstanceId selfId)
    : settings(times)
    , clock(timeSource)
    , peers(peerTable)
    , self(std::move(selfId))
{
}

void OwnershipPlanner::setResources(const std::vector<ResourceId> &all)
{
    const std::lock_guard lock(this->mutex);
    this->resources = std::set<ResourceId>(all.begin(), all.end());
    for (auto entry = this->memories.begin(); entry != this->memories.end();) {
        const bool kept = this->resources.count(entry->first) != 0;
        entry = kept ? std::next(entry) : this->memories.erase(entry);
    }
}

void OwnershipPlanner::setReady(bool value)
{
    const std::lock_guard lock(this->mutex);
    this->ready = value;
}

void OwnershipPlanner::leave()
{
    const std::lock_guard lock(this->mutex);
    this->leaving = true;
}

OwnershipPlan OwnershipPlanner::plan(LeaseHolder &holder, const std::set<ResourceId> &handingOver)
{
    const std::vector<ResourceId> heldNow = holder.held();
    const std::set<ResourceId> held(heldNow.begin(), heldNow.end());
    const std::lock_guard lock(this->mutex);
    OwnershipPlan out;
    for (const ResourceId &resource : held) {
        this->planHeld(resource, holder.panel(resource), handingOver.count(resource) != 0, out);
    }
    for (const ResourceId &resource : this->resources) {
        if (held.count(resource) == 0) {
            this->planOther(resource, holder, out);
        }
    }
    return out;
}

OwnershipPlanner::Position OwnershipPlanner::positionIn(const Panel &panel) const
{
    Position position;
    for (const InstanceId &member : panel.members()) {
        if (member == this->self) {
            position.member = true;
            return position;
        }
        ++position.rank;
        position.ahead += this->peers.mayOwn(member) ? 1 : 0;
    }
    return position;
}

void OwnershipPlanner::planHeld(const ResourceId &resource, const Panel &panel, bool handingOver, OwnershipPlan &out)
{
    const Position position = this->positionIn(panel);
    const bool listed = this->resources.count(resource) != 0;
    // Renewed while it is handed over, too: what still runs needs the lease.
    out.ask.push_back(resource);
    if (handingOver) {
        return;
    }
    if (!listed || this->leaving || this->mustHandOver(this->memories[resource], position, this->clock.now())) {
        out.handOver.push_back(resource);
    }
}

bool OwnershipPlanner::mustHandOver(Memory &memory, const Position &position, TimePoint now) const
{
    if (!memory.held) {
        memory = Memory();
        memory.held = true;
        memory.outOfTurn = position.ahead > 0;
    }
    if (position.ahead == 0) {
        memory.higherSince.reset();
        memory.outOfTurn = false;
        return false;
    }
    if (!memory.higherSince) {
        memory.higherSince = now;
    }
    const Duration patience = this->settings.handoverAfter * (memory.outOfTurn ? outOfTurnFactor : 1);
    return now - *memory.higherSince >= patience;
}

void OwnershipPlanner::planOther(const ResourceId &resource, LeaseHolder &holder, OwnershipPlan &out)
{
    const TimePoint now = this->clock.now();
    Memory &memory = this->memories[resource];
    memory.held = false;
    memory.higherSince.reset();
    const Panel panel = holder.panel(resource);
    const std::optional<LeaseProgress> progress = holder.progress(resource);
    if (!this->mayAsk(memory, resource, this->positionIn(panel), now)) {
        if (progress) {
            out.giveBack.push_back(resource);
        }
        return;
    }
    if (progress && this->mustGiveBack(memory, resource, panel, *progress)) {
        out.giveBack.push_back(resource);
        return;
    }
    out.ask.push_back(resource);
}

bool OwnershipPlanner::mayAsk(Memory &memory, const ResourceId &resource, const Position &position, TimePoint now) const
{
    if (this->peers.announcedHolder(resource)) {
        memory.orphanSince.reset();
    } else if (!memory.orphanSince) {
        memory.orphanSince = now;
    }
    // Voters with the newer list would refuse, and the grants of the others would only block better candidates.
    if (this->peers.listIsStale()) {
        return false;
    }
    if (!this->ready || this->leaving || !position.member || now < memory.notBefore) {
        return false;
    }
    if (position.ahead == 0) {
        return true;
    }
    // A higher-ranked instance that looks alive but does not get a quorum must not keep the resource without an owner.
    const Duration patience = this->settings.handoverAfter * static_cast<int>(position.ahead);
    return memory.orphanSince && now - *memory.orphanSince >= patience;
}

bool OwnershipPlanner::hasHigherCompetitor(const ResourceId &resource,
                                           const Panel &panel,
                                           const LeaseProgress &progress) const
{
    const std::optional<InstanceId> formerHolder = this->peers.announcedHolder(resource);
    for (const InstanceId &member : panel.members()) {
        if (member == this->self) {
            return false;
        }
        // Voters stay bound to the former holder for a moment after its release.
        const bool isLeaving = member == formerHolder || this->peers.health(member) == PeerHealth::Leaving;
        if (progress.competitors.count(member) != 0 && !isLeaving) {
            return true;
        }
    }
    return false;
}

bool OwnershipPlanner::mustGiveBack(Memory &memory,
                                    const ResourceId &resource,
                                    const Panel &panel,
                                    const LeaseProgress &progress) const
{
    if (progress.granted >= progress.quorum) {
        return false;
    }
    const TimePoint now = this->clock.now();
    const bool blocked = progress.bound + progress.quorum > progress.members;
    if (!blocked || progress.granted == 0) {
        memory.deadlockSince.reset();
    } else if (!memory.deadlockSince) {
        memory.deadlockSince = now;
    }
    if (memory.deadlockSince) {
        // The lower-ranked candidate gives way. The higher-ranked one keeps its grants until it must assume that the
        // other one will not.
        const Duration patience
            = this->hasHigherCompetitor(resource, panel, progress) ? Duration::zero() : this->settings.period;
        if (now - *memory.deadlockSince >= patience) {
            memory.deadlockSince.reset();
            memory.notBefore = now + this->settings.renew * static_cast<int>(1 + this->positionIn(panel).rank);
            return true;
        }
    }
    if (!blocked && now - progress.askedSince >= this->settings.period * unansweredPeriods) {
        memory.notBefore = now + this->settings.period;
        return true;
    }
    return false;
}

}
