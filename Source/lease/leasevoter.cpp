#include "lease/leasevoter.h"

#include "core/erasevaluesif.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

constexpr unsigned runShift = 32;

/// Two requests come from the same run of an instance when the upper halves of their ids are equal.
bool sameRun(std::uint64_t left, std::uint64_t right)
{
    return left >> runShift == right >> runShift;
}

}

LeaseVoter::LeaseVoter(LeaseSettings times, const Clock &timeSource, Counters &counterRegistry, InstanceId selfId)
    : settings(times)
    , clock(timeSource)
    , counters(counterRegistry)
    , self(std::move(selfId))
    , started(timeSource.now())
    , lastPrune(started)
{
}

void LeaseVoter::setList(std::shared_ptr<const InstanceList> list, ValueVersion version)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    if (!this->epochs.empty() && !(this->listVersion < version)) {
        return;
    }
    this->listVersion = version;
    this->epochs.push_back(Epoch { std::move(list), now, {} });
}

bool LeaseVoter::isMember(Epoch &epoch, const ResourceId &resource) const
{
    // Bounds the memory that requests for made-up resources can take.
    constexpr std::size_t cachedLimit = 100000;
    const auto known = epoch.membership.find(resource);
    if (known != epoch.membership.end()) {
        return known->second;
    }
    if (epoch.membership.size() >= cachedLimit) {
        epoch.membership.clear();
    }
    const bool member = Panel::of(resource, *epoch.list).contains(this->self);
    epoch.membership.emplace(resource, member);
    return member;
}

bool LeaseVoter::votesOn(const ResourceId &resource, TimePoint now)
{
    const TimePoint horizon = now - this->settings.period;
    while (this->epochs.size() > 1 && this->epochs[1].since <= horizon) {
        this->epochs.pop_front();
    }
    if (this->epochs.empty() || this->epochs.front().since > horizon) {
        return false;
    }
    return std::all_of(
        this->epochs.begin(), this->epochs.end(), [&](Epoch &epoch) { return this->isMember(epoch, resource); });
}

void LeaseVoter::refuse(LeaseReply &reply, const ResourceId &resource, std::string_view reason) const
{
    reply.refused.push_back({ resource, InstanceId(), 0 });
    this->counters.counter("lycheewall_lease_refusals_total", reason).add();
}

bool LeaseVoter::decide(
    const InstanceId &from, std::uint64_t id, const ResourceId &resource, TimePoint now, LeaseReply &reply)
{
    const auto found = this->grants.find(resource);
    if (found == this->grants.end()) {
        Grant grant;
        grant.holder = from;
        this->grants.emplace(resource, grant);
        return true;
    }
    Grant &grant = found->second;
    const bool own = grant.holder == from && sameRun(grant.request, id);
    if (grant.expires > now && !own) {
        const Duration remaining = grant.expires - now;
        // An earlier run of the sender may still be alive, so its grant runs out like that of another holder.
        reply.refused.push_back({ resource, grant.holder, toMilliseconds(remaining) + 1 });
        this->counters.counter("lycheewall_lease_refusals_total", "held").add();
        return false;
    }
    if (own && id <= grant.released) {
        this->refuse(reply, resource, "released");
        return false;
    }
    if (!own) {
        grant = Grant();
        grant.holder = from;
    }
    return true;
}

LeaseReply LeaseVoter::handle(const InstanceId &from, const LeaseRequest &request)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    this->prune(now);
    LeaseReply reply;
    reply.id = request.id;
    reply.listVersion = this->listVersion;
    const bool silent = now - this->started < this->settings.period;
    const bool newerList = request.listVersion < this->listVersion;
    for (const ResourceId &resource : request.resources) {
        if (silent || newerList) {
            this->refuse(reply, resource, silent ? "silent" : "list-version");
            continue;
        }
        if (!this->votesOn(resource, now)) {
            this->refuse(reply, resource, "not-member");
            continue;
        }
        if (!this->decide(from, request.id, resource, now, reply)) {
            continue;
        }
        Grant &grant = this->grants[resource];
        grant.request = std::max(grant.request, request.id);
        grant.expires = now + this->settings.period;
        grant.forget = grant.expires;
        reply.granted.push_back(resource);
    }
    return reply;
}

void LeaseVoter::handle(const InstanceId &from, const LeaseRelease &release)
{
    const TimePoint now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    for (const ResourceId &resource : release.resources) {
        const auto found = this->grants.find(resource);
        if (found == this->grants.end()) {
            continue;
        }
        Grant &grant = found->second;
        const bool covers = grant.holder == from && sameRun(grant.request, release.id) && grant.request <= release.id;
        if (covers) {
            grant.expires = now;
            grant.released = release.id;
            grant.forget = now + this->settings.period;
        }
    }
}

void LeaseVoter::prune(TimePoint now)
{
    if (now - this->lastPrune < this->settings.period) {
        return;
    }
    this->lastPrune = now;
    eraseValuesIf(this->grants, [now](const auto &grant) { return grant.expires <= now && grant.forget <= now; });
}

}
