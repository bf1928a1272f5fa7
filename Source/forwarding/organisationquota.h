#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "forwarding/routetable.h"

#include <map>
#include <optional>
#include <vector>

namespace Lycheewall
{

/// Number of an organisation's requests that an instance has admitted.
struct OrganisationUsage
{
    OrganisationId organisation;
    /// Since the process started.
    std::uint64_t admitted = 0;
    /// In the last few seconds. A receiver that missed earlier messages deducts no more than this.
    std::uint64_t recentlyAdmitted = 0;
};

/// The limit of an organisation, and what is left of it at this instance.
struct OrganisationQuotaState
{
    /// Requests per second over the whole fleet; 0 means no limit.
    double ratePerSecond = 0;
    double burst = 0;
    /// Requests that this instance admits now; negative while a deficit has to be made up for first.
    double tokens = 0;
    /// Time until a request is admitted; zero if it is admitted now.
    Duration waitTime {};
};

/**
 * Limits the rate and the burst of each organisation over the whole fleet. Each instance keeps a copy of the fleet's
 * token bucket, from which it deducts the requests that it admits itself and those that the other instances report.
 * Requests that were admitted before the reports arrived make the bucket negative and delay later requests, so the
 * excess is bounded by one gossip interval. The shares of unreachable instances are reserved for them; an instance that
 * reaches no other one uses only its own share.
 * Thread safety: none; used on the thread of the request loop.
 */
class OrganisationQuota
{
public:
    explicit OrganisationQuota(const Clock &clock);

    /// Sets the limits of a new route table. Lower limits take effect immediately; the usage so far is kept.
    void setLimits(const std::map<OrganisationId, OrganisationSpec> &organisations);

    /// Sets how many of the @p knownCount known instances are live; both include this one.
    /// Precondition: 0 < liveCount <= knownCount.
    void setInstanceCounts(std::size_t liveCount, std::size_t knownCount);

    /// Takes one token and returns std::nullopt if the request is admitted; otherwise returns the time after which a
    /// retry can be admitted. Requests of organisations without a limit are always admitted.
    std::optional<Duration> throttle(const OrganisationId &organisation);

    /// The state of the organisation's quota, without taking a token; std::nullopt if the organisation is unknown.
    std::optional<OrganisationQuotaState> state(const OrganisationId &organisation) const;

    /// Returns the token of a request that was admitted but not sent to any endpoint.
    void refund(const OrganisationId &organisation);

    /// Deducts the usage that @p instance reports. For a new incarnation, usage counts from 0 if @p hasJoined is true.
    /// Otherwise this instance has only just started: its bucket does not cover earlier requests, so the first report
    /// is only the baseline for later ones.
    void recordRemoteUsage(const InstanceId &instance,
                           std::uint64_t incarnation,
                           const std::vector<OrganisationUsage> &usage,
                           bool hasJoined);

    /// Marks the instance as unreachable. Requests that it admits from now on count against the share that is reserved
    /// for it, so its next report is not deducted.
    void markUnreachable(const InstanceId &instance);

    /// Usage of this instance for the other instances: organisations with requests admitted in the last few seconds.
    std::vector<OrganisationUsage> recentUsage();

    /// True if at least one organisation is near its limit, so that the usage should be reported to the others soon.
    bool isAnyNearLimit() const;

private:
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        TimePoint refilledAt;
        std::uint64_t admitted = 0;
        /// Value of admitted at the start of the current usage window and of the one before it.
        std::uint64_t admittedAtWindowStart = 0;
        std::uint64_t admittedAtPreviousWindowStart = 0;
    };
    struct RemoteUsage
    {
        std::uint64_t incarnation = 0;
        bool wasUnreachable = false;
        std::map<OrganisationId, std::uint64_t> admitted;
    };

    /// Fraction of the known instances that are live.
    double liveFraction() const;
    void refill(Bucket &bucket) const;
    /// Time until the bucket holds a token; zero if it does or there is no limit. Precondition: @p bucket is refilled.
    Duration waitTime(const Bucket &bucket) const;
    /// Starts a new usage window if the current one has ended.
    void rotateUsageWindow();

    const Clock &clock;
    double liveInstances = 1;
    double knownInstances = 1;
    TimePoint windowStartedAt;
    std::map<OrganisationId, Bucket> buckets;
    std::map<InstanceId, RemoteUsage> remoteUsage;
};

}
