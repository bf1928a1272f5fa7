#include "lease/leaseholder.h"

#include "core/erasevaluesif.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

constexpr unsigned runShift = 32;

/// Bounds what a peer may send.
constexpr std::int64_t longestRemainingMs = 3600000;

}

LeaseHolder::LeaseHolder(LeaseSettings times, const Clock &timeSource, std::uint32_t runNumber)
    : settings(times)
    , clock(timeSource)
    , list(std::make_shared<const InstanceList>())
    , lastRequest(static_cast<std::uint64_t>(runNumber) << runShift)
{
}

void LeaseHolder::setList(std::shared_ptr<const InstanceList> newList, ValueVersion version)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    if (version < this->listVersion) {
        return;
    }
    this->list = std::move(newList);
    this->listVersion = version;
    this->panels.clear();
    for (auto &[resource, lease] : this->leases) {
        // A lease that lapsed under the old panel must not come back under the new one unnoticed.
        this->noticeLapse(resource, lease, now);
        lease.panel = this->panelLocked(resource);
        this->recount(lease);
        this->noticeLapse(resource, lease, now);
        this->noticeGain(resource, lease, now);
    }
}

const Panel &LeaseHolder::panelLocked(const ResourceId &resource)
{
    const auto known = this->panels.find(resource);
    if (known != this->panels.end()) {
        return known->second;
    }
    return this->panels.emplace(resource, Panel::of(resource, *this->list)).first->second;
}

Panel LeaseHolder::panel(const ResourceId &resource)
{
    const std::lock_guard lock(this->mutex);
    return this->panelLocked(resource);
}

LeaseHolder::Lease &LeaseHolder::leaseFor(const ResourceId &resource, TimePoint now)
{
    const auto known = this->leases.find(resource);
    if (known != this->leases.end()) {
        return known->second;
    }
    Lease lease;
    lease.panel = this->panelLocked(resource);
    lease.askedSince = now;
    return this->leases.emplace(resource, std::move(lease)).first->second;
}

std::vector<AddressedMessage> LeaseHolder::requests(const std::vector<ResourceId> &resources)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    this->prunePending(now);
    std::map<InstanceId, std::vector<ResourceId>> byVoter;
    for (const ResourceId &resource : resources) {
        const Lease &lease = this->leaseFor(resource, now);
        for (const InstanceId &voter : lease.panel.members()) {
            byVoter[voter].push_back(resource);
        }
    }
    std::vector<AddressedMessage> messages;
    for (auto &[voter, asked] : byVoter) {
        const std::uint64_t id = ++this->lastRequest;
        this->pending[id] = Pending { voter, now, std::set<ResourceId>(asked.begin(), asked.end()) };
        messages.push_back({ voter, LeaseRequest { id, std::move(asked), this->listVersion } });
    }
    return messages;
}

void LeaseHolder::prunePending(TimePoint now)
{
    eraseValuesIf(this->pending,
                  [this, now](const auto &request) { return now - request.sent >= this->settings.period; });
}

void LeaseHolder::reply(const InstanceId &from, const LeaseReply &answer)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    const auto found = this->pending.find(answer.id);
    if (found == this->pending.end() || found->second.voter != from) {
        return;
    }
    const Pending asked = std::move(found->second);
    this->pending.erase(found);
    for (const ResourceId &resource : answer.granted) {
        if (asked.resources.count(resource) != 0) {
            this->applyGrant(resource, from, asked.sent, now);
        }
    }
    for (const LeaseRefusal &refusal : answer.refused) {
        const auto lease = this->leases.find(refusal.resource);
        if (lease != this->leases.end() && refusal.remainingMs > 0) {
            const Milliseconds remaining(std::min(refusal.remainingMs, longestRemainingMs));
            lease->second.bound[from] = { refusal.holder, now + remaining };
        }
    }
}

void LeaseHolder::applyGrant(const ResourceId &resource, const InstanceId &voter, TimePoint sent, TimePoint now)
{
    const auto found = this->leases.find(resource);
    if (found == this->leases.end()) {
        return;
    }
    Lease &lease = found->second;
    this->noticeLapse(resource, lease, now);
    TimePoint &newest = lease.grants[voter];
    newest = std::max(newest, sent);
    lease.bound.erase(voter);
    this->recount(lease);
    this->noticeGain(resource, lease, now);
}

void LeaseHolder::recount(Lease &lease) const
{
    std::vector<TimePoint> sent;
    for (const InstanceId &voter : lease.panel.members()) {
        const auto grant = lease.grants.find(voter);
        if (grant != lease.grants.end()) {
            sent.push_back(grant->second);
        }
    }
    const std::size_t quorum = lease.panel.quorum();
    if (sent.size() < quorum) {
        lease.validUntil = TimePoint();
        return;
    }
    std::sort(sent.begin(), sent.end(), std::greater<>());
    lease.validUntil = sent[quorum - 1] + this->settings.usable();
}

std::size_t LeaseHolder::liveGrants(const Lease &lease, TimePoint now) const
{
    const auto &members = lease.panel.members();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const InstanceId &voter) {
        const auto grant = lease.grants.find(voter);
        return grant != lease.grants.end() && now < grant->second + this->settings.usable();
    }));
}

void LeaseHolder::noticeLapse(const ResourceId &resource, Lease &lease, TimePoint now)
{
    if (lease.acquisition == 0 || now < lease.validUntil) {
        return;
    }
    this->changes.push_back({ LeaseChange::Kind::Lost, resource, lease.acquisition });
    lease.acquisition = 0;
    lease.active = false;
    lease.askedSince = now;
}

void LeaseHolder::noticeGain(const ResourceId &resource, Lease &lease, TimePoint now)
{
    if (lease.acquisition != 0 || now >= lease.validUntil) {
        return;
    }
    lease.acquisition = ++this->lastAcquisition;
    this->changes.push_back({ LeaseChange::Kind::Gained, resource, lease.acquisition });
}

std::vector<AddressedMessage> LeaseHolder::release(const std::vector<ResourceId> &resources)
{
    const std::lock_guard lock(this->mutex);
    std::map<InstanceId, std::vector<ResourceId>> byVoter;
    for (const ResourceId &resource : resources) {
        const auto found = this->leases.find(resource);
        if (found == this->leases.end()) {
            continue;
        }
        const Lease &lease = found->second;
        if (lease.acquisition != 0) {
            this->changes.push_back({ LeaseChange::Kind::Lost, resource, lease.acquisition });
        }
        std::set<InstanceId> voters(lease.panel.members().begin(), lease.panel.members().end());
        for (const auto &[voter, sent] : lease.grants) {
            voters.insert(voter);
        }
        for (const InstanceId &voter : voters) {
            byVoter[voter].push_back(resource);
        }
        for (auto &[id, asked] : this->pending) {
            asked.resources.erase(resource);
        }
        this->leases.erase(found);
    }
    std::vector<AddressedMessage> messages;
    messages.reserve(byVoter.size());
    for (auto &[voter, released] : byVoter) {
        messages.push_back({ voter, LeaseRelease { this->lastRequest, std::move(released) } });
    }
    return messages;
}

std::vector<LeaseChange> LeaseHolder::takeChanges()
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    for (auto &[resource, lease] : this->leases) {
        this->noticeLapse(resource, lease, now);
    }
    return std::exchange(this->changes, {});
}

bool LeaseHolder::activate(const LeaseChange &gained)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    const auto found = this->leases.find(gained.resource);
    if (found == this->leases.end() || found->second.acquisition != gained.acquisition) {
        return false;
    }
    Lease &lease = found->second;
    this->noticeLapse(gained.resource, lease, now);
    lease.active = lease.acquisition == gained.acquisition;
    return lease.active;
}

bool LeaseHolder::holds(const ResourceId &resource) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->leases.find(resource);
    if (found == this->leases.end() || !found->second.active) {
        return false;
    }
    return this->clock.now() < found->second.validUntil;
}

std::vector<ResourceId> LeaseHolder::held() const
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.now();
    std::vector<ResourceId> resources;
    for (const auto &[resource, lease] : this->leases) {
        if (lease.active && now < lease.validUntil) {
            resources.push_back(resource);
        }
    }
    return resources;
}

std::optional<LeaseProgress> LeaseHolder::progress(const ResourceId &resource) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->leases.find(resource);
    if (found == this->leases.end()) {
        return std::nullopt;
    }
    const Lease &lease = found->second;
    const TimePoint now = this->clock.now();
    LeaseProgress progress;
    progress.askedSince = lease.askedSince;
    progress.granted = this->liveGrants(lease, now);
    progress.members = lease.panel.members().size();
    progress.quorum = lease.panel.quorum();
    for (const InstanceId &voter : lease.panel.members()) {
        const auto bound = lease.bound.find(voter);
        if (bound != lease.bound.end() && now < bound->second.until) {
            ++progress.bound;
            progress.competitors.insert(bound->second.competitor);
        }
    }
    return progress;
}

}
