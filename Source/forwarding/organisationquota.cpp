#include "forwarding/organisationquota.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// A new bucket starts with this share of the burst: a restart must not grant a whole burst again.
constexpr double startingShare = 0.3;
/// A bucket below this share of its burst is close to its limit.
constexpr double pressedShare = 0.4;
/// Debt beyond this many seconds of the rate is dropped, so that a flood at other instances does not stop service.
constexpr double mostDebtSeconds = 5;
/// Use counts as recent for one to two of these spans. Messages take up to two seconds through a large fleet.
constexpr Duration recentSpan = std::chrono::seconds(3);

}

OrganisationQuota::OrganisationQuota(const Clock &quotaClock)
    : clock(quotaClock)
    , markedAt(quotaClock.now())
{
}

void OrganisationQuota::setLimits(const std::map<OrganisationId, OrganisationSpec> &organisations)
{
    const TimePoint now = this->clock.now();
    for (const auto &[id, spec] : organisations) {
        const auto [entry, added] = this->buckets.try_emplace(id);
        Bucket &bucket = entry->second;
        if (added) {
            bucket.at = now;
            bucket.level = startingShare * spec.burst;
        } else {
            this->refill(bucket);
        }
        bucket.rate = spec.ratePerSecond;
        bucket.burst = std::max(1.0, spec.burst);
        bucket.level = std::min(bucket.level, bucket.burst);
    }
}

void OrganisationQuota::setInstanceCounts(std::size_t heardInstances, std::size_t allInstances)
{
    for (auto &[id, bucket] : this->buckets) {
        this->refill(bucket);
    }
    this->heard = static_cast<double>(heardInstances);
    this->all = static_cast<double>(allInstances);
}

double OrganisationQuota::shareInUse() const
{
    return this->heard / this->all;
}

void OrganisationQuota::refill(Bucket &bucket) const
{
    const TimePoint now = this->clock.now();
    const double passed = fractionalSeconds(now - bucket.at);
    bucket.level = std::min(bucket.burst, bucket.level + passed * bucket.rate * this->shareInUse());
    bucket.level = std::max(bucket.level, -mostDebtSeconds * bucket.rate);
    bucket.at = now;
}

std::optional<Duration> OrganisationQuota::throttle(const OrganisationId &organisation)
{
    const auto entry = this->buckets.find(organisation);
    if (entry == this->buckets.end()) {
        return std::nullopt;
    }
    Bucket &bucket = entry->second;
    if (bucket.rate <= 0) {
        return std::nullopt;
    }
    this->refill(bucket);
    if (bucket.level >= 1) {
        bucket.level -= 1;
        ++bucket.admitted;
        return std::nullopt;
    }
    const double wait = (1 - bucket.level) / (bucket.rate * this->shareInUse());
    return fromSeconds(wait);
}

void OrganisationQuota::recordRemoteUsage(const InstanceId &instance,
                                          std::uint64_t incarnation,
                                          const std::vector<OrganisationUsage> &use,
                                          bool hasJoined)
{
    const auto [entry, added] = this->remotes.try_emplace(instance);
    Remote &remote = entry->second;
    const bool newProcess = added || remote.incarnation != incarnation;
    const bool onlyBaseline = newProcess ? !hasJoined : remote.wasSilent;
    if (newProcess) {
        remote.admitted.clear();
    }
    remote.incarnation = incarnation;
    remote.wasSilent = false;
    for (const OrganisationUsage &item : use) {
        std::uint64_t &known = remote.admitted[item.organisation];
        const auto bucket = this->buckets.find(item.organisation);
        if (!onlyBaseline && item.admitted > known && bucket != this->buckets.end()) {
            this->refill(bucket->second);
            bucket->second.level -= static_cast<double>(std::min(item.admitted - known, item.recentlyAdmitted));
        }
        known = std::max(known, item.admitted);
    }
}

void OrganisationQuota::markUnreachable(const InstanceId &instance)
{
    const auto entry = this->remotes.find(instance);
    if (entry != this->remotes.end()) {
        entry->second.wasSilent = true;
    }
}

void OrganisationQuota::setMarks()
{
    const TimePoint now = this->clock.now();
    if (now - this->markedAt < recentSpan) {
        return;
    }
    for (auto &[id, bucket] : this->buckets) {
        bucket.atEarlierMark = bucket.atMark;
        bucket.atMark = bucket.admitted;
    }
    this->markedAt = now;
}

std::vector<OrganisationUsage> OrganisationQuota::recentUsage()
{
    this->setMarks();
    std::vector<OrganisationUsage> result;
    for (const auto &[id, bucket] : this->buckets) {
        const std::uint64_t recent = bucket.admitted - bucket.atEarlierMark;
        if (bucket.rate > 0 && recent > 0) {
            result.push_back({ id, bucket.admitted, recent });
        }
    }
    return result;
}

bool OrganisationQuota::isAnyNearLimit() const
{
    return std::any_of(this->buckets.begin(), this->buckets.end(), [](const auto &entry) {
        return entry.second.rate > 0 && entry.second.level < pressedShare * entry.second.burst;
    });
}

}
