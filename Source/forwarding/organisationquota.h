#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "forwarding/routetable.h"

#include <map>
#include <optional>
#include <vector>

namespace Lycheewall
{

/// What an instance has admitted of an organisation's requests.
struct OrganisationUsage
{
    OrganisationId organisation;
    /// Since the process started.
    std::uint64_t admitted = 0;
    /// In the last seconds. A receiver that missed earlier messages counts no more than this.
    std::uint64_t recentlyAdmitted = 0;
};

/**
 * Rate and burst of each organisation over the whole fleet. Each instance keeps the fleet's bucket as far as it knows:
 * it takes what it admits itself and what the others say that they have admitted. What was admitted before the others
 * heard of it makes the bucket negative and is paid back, so the excess is bounded by one exchange interval. The share
 * of instances that fell silent is set aside, and an instance that hears from no other keeps to its own share.
 * Thread safety: none; used on the thread of the request loop.
 */
class OrganisationQuota
{
public:
    explicit OrganisationQuota(const Clock &clock);

    /// Takes the limits of a new route table. Lower limits bind at once; use so far is kept.
    void setLimits(const std::map<OrganisationId, OrganisationSpec> &organisations);

    /// @p heard of @p all instances are heard from, this one included. Precondition: 0 < heard <= all.
    void setInstanceCounts(std::size_t heard, std::size_t all);

    /// Admits one request; otherwise the time after which another try can be admitted.
    std::optional<Duration> throttle(const OrganisationId &organisation);

    /// Takes what @p instance says of its use. A new incarnation counts from 0, or from its first message when
    /// @p hasJoined is false: then this instance has just started and its bucket holds nothing of before.
    void recordRemoteUsage(const InstanceId &instance,
                           std::uint64_t incarnation,
                           const std::vector<OrganisationUsage> &use,
                           bool hasJoined);

    /// The instance fell silent. What it admits from now on comes from the share that is set aside for it.
    void markUnreachable(const InstanceId &instance);

    /// Own use, for the other instances: the organisations with requests in the last seconds.
    std::vector<OrganisationUsage> recentUsage();

    /// True when some organisation is close to its limit, so that others should hear of its use soon.
    bool isAnyNearLimit() const;

private:
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        TimePoint at;
        std::uint64_t admitted = 0;
        /// Value of admitted at the last mark and at the one before it.
        std::uint64_t atMark = 0;
        std::uint64_t atEarlierMark = 0;
    };
    struct Remote
    {
        std::uint64_t incarnation = 0;
        bool wasSilent = false;
        std::map<OrganisationId, std::uint64_t> admitted;
    };

    double shareInUse() const;
    void refill(Bucket &bucket) const;
    void setMarks();

    const Clock &clock;
    double heard = 1;
    double all = 1;
    TimePoint markedAt;
    std::map<OrganisationId, Bucket> buckets;
    std::map<InstanceId, Remote> remotes;
};

}
