#include "forwarding/organisationquota.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// A new bucket starts with this fraction of the burst: a restart must not grant a complete burst again.
constexpr double initialFillFraction = 0.3;
/// An organisation is near its limit when its bucket holds less than this fraction of the burst.
constexpr double nearLimitFraction = 0.4;
/// A deficit beyond this many seconds of the rate is dropped, so that a flood of requests at other instances does not
/// stop the organisation's service here.
constexpr double maxDeficitSeconds = 5;
/// Usage counts as recent for one to two of these windows. Gossip messages take up to two seconds to cross a large
/// fleet.
constexpr Duration usageWindow = std::chrono::seconds(3);

}

OrganisationQuota::OrganisationQuota(const Clock &quotaClock)
    : clock(quotaClock)
    , windowStartedAt(quotaClock.now())
{
}

void OrganisationQuota::setLimits(const std::map<OrganisationId, OrganisationSpec> &organisations)
{
    const TimePoint now = this->clock.now();
    for (const auto &[id, spec] : organisations) {
        const auto [entry, added] = this->buckets.try_emplace(id);
        Bucket &bucket = entry->second;
        if (added) {
            bucket.refilledAt = now;
            bucket.tokens = initialFillFraction * spec.burst;
        } else {
            this->refill(bucket);
        }
        bucket.rate = spec.ratePerSecond;
        bucket.burst = std::max(1.0, spec.burst);
        bucket.tokens = std::min(bucket.tokens, bucket.burst);
    }
}

void OrganisationQuota::setInstanceCounts(std::size_t liveCount, std::size_t knownCount)
{
    for (auto &[id, bucket] : this->buckets) {
        this->refill(bucket);
    }
    this->liveInstances = static_cast<double>(liveCount);
    this->knownInstances = static_cast<double>(knownCount);
}

double OrganisationQuota::liveFraction() const
{
    return this->liveInstances / this->knownInstances;
}

void OrganisationQuota::refill(Bucket &bucket) const
{
    const TimePoint now = this->clock.now();
    const double elapsed = fractionalSeconds(now - bucket.refilledAt);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + elapsed * bucket.rate * this->liveFraction());
    bucket.tokens = std::max(bucket.tokens, -maxDeficitSeconds * bucket.rate);
    bucket.refilledAt = now;
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
    const Duration wait = this->waitTime(bucket);
    if (wait > Duration::zero()) {
        return wait;
    }
    bucket.tokens -= 1;
    ++bucket.admitted;
    return std::nullopt;
}

Duration OrganisationQuota::waitTime(const Bucket &bucket) const
{
    if (bucket.rate <= 0 || bucket.tokens >= 1) {
        return Duration::zero();
    }
    const Duration wait = fromSeconds((1 - bucket.tokens) / (bucket.rate * this->liveFraction()));
    // A missing fraction of a token may be shorter than the resolution of the clock.
    return std::max(wait, Duration(1));
}

std::optional<OrganisationQuotaState> OrganisationQuota::state(const OrganisationId &organisation) const
{
    const auto entry = this->buckets.find(organisation);
    if (entry == this->buckets.end()) {
        return std::nullopt;
    }
    Bucket bucket = entry->second;
    this->refill(bucket);
    return OrganisationQuotaState { bucket.rate, bucket.burst, bucket.tokens, this->waitTime(bucket) };
}

void OrganisationQuota::refund(const OrganisationId &organisation)
{
    const auto entry = this->buckets.find(organisation);
    if (entry == this->buckets.end() || entry->second.rate <= 0) {
        return;
    }
    Bucket &bucket = entry->second;
    this->refill(bucket);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + 1);
    // Usage of an earlier window has been reported to the other instances and stays counted.
    if (bucket.admitted > bucket.admittedAtWindowStart) {
        --bucket.admitted;
    }
}

void OrganisationQuota::recordRemoteUsage(const InstanceId &instance,
                                          std::uint64_t incarnation,
                                          const std::vector<OrganisationUsage> &usage,
                                          bool hasJoined)
{
    const auto [entry, added] = this->remoteUsage.try_emplace(instance);
    RemoteUsage &remote = entry->second;
    const bool isNewProcess = added || remote.incarnation != incarnation;
    const bool isBaselineOnly = isNewProcess ? !hasJoined : remote.wasUnreachable;
    if (isNewProcess) {
        remote.admitted.clear();
    }
    remote.incarnation = incarnation;
    remote.wasUnreachable = false;
    for (const OrganisationUsage &item : usage) {
        std::uint64_t &lastReported = remote.admitted[item.organisation];
        const auto bucket = this->buckets.find(item.organisation);
        if (!isBaselineOnly && item.admitted > lastReported && bucket != this->buckets.end()) {
            this->refill(bucket->second);
            bucket->second.tokens -= static_cast<double>(std::min(item.admitted - lastReported, item.recentlyAdmitted));
        }
        lastReported = std::max(lastReported, item.admitted);
    }
}

void OrganisationQuota::markUnreachable(const InstanceId &instance)
{
    const auto entry = this->remoteUsage.find(instance);
    if (entry != this->remoteUsage.end()) {
        entry->second.wasUnreachable = true;
    }
}

void OrganisationQuota::rotateUsageWindow()
{
    const TimePoint now = this->clock.now();
    if (now - this->windowStartedAt < usageWindow) {
        return;
    }
    for (auto &[id, bucket] : this->buckets) {
        bucket.admittedAtPreviousWindowStart = bucket.admittedAtWindowStart;
        bucket.admittedAtWindowStart = bucket.admitted;
    }
    this->windowStartedAt = now;
}

std::vector<OrganisationUsage> OrganisationQuota::recentUsage()
{
    this->rotateUsageWindow();
    std::vector<OrganisationUsage> result;
    for (const auto &[id, bucket] : this->buckets) {
        const std::uint64_t recent = bucket.admitted - bucket.admittedAtPreviousWindowStart;
        if (bucket.rate > 0 && recent > 0) {
            result.push_back({ id, bucket.admitted, recent });
        }
    }
    return result;
}

bool OrganisationQuota::isAnyNearLimit() const
{
    return std::any_of(this->buckets.begin(), this->buckets.end(), [](const auto &entry) {
        return entry.second.rate > 0 && entry.second.tokens < nearLimitFraction * entry.second.burst;
    });
}

}
