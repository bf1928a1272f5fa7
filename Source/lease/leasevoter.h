#pragma once

#include "core/counters.h"
#include "lease/leasesettings.h"
#include "membership/panel.h"
#include "peer/codec/messages.h"

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Lycheewall
{

/**
 * Votes of this instance: a resource is granted to one holder at a time, until expiry or release.
 * Silent for one lease period after its construction, and on each resource for one period after a list made it a
 * member of that resource's panel: an earlier run, or the member that it replaces, may have granted just before.
 * Thread safety: any thread.
 */
class LeaseVoter
{
public:
    LeaseVoter(LeaseSettings times, const Clock &timeSource, Counters &counterRegistry, InstanceId selfId);

    /// Adopts a list. A version that is not higher than the present one is ignored.
    void setList(std::shared_ptr<const InstanceList> list, ValueVersion version);

    /// Decides on each resource of a request. The reply's catalogueVersion is left to the caller.
    LeaseReply handle(const InstanceId &from, const LeaseRequest &request);

    /// Ends the grants that answered this or an earlier request of the same run of the holder.
    void handle(const InstanceId &from, const LeaseRelease &release);

private:
    struct Grant
    {
        InstanceId holder;
        /// Newest request that was granted.
        std::uint64_t request = 0;
        TimePoint expires;
        /// Newest request that the release covers; older ones that arrive late are refused.
        std::uint64_t released = 0;
        TimePoint forget;
    };
    /// A list and when it came into force here.
    struct Epoch
    {
        std::shared_ptr<const InstanceList> list;
        TimePoint since;
        std::unordered_map<ResourceId, bool> membership;
    };

    bool votesOn(const ResourceId &resource, TimePoint now);
    bool isMember(Epoch &epoch, const ResourceId &resource) const;
    bool decide(const InstanceId &from, std::uint64_t id, const ResourceId &resource, TimePoint now, LeaseReply &reply);
    void prune(TimePoint now);
    void refuse(LeaseReply &reply, const ResourceId &resource, std::string_view reason) const;

    const LeaseSettings settings;
    const Clock &clock;
    Counters &counters;
    const InstanceId self;
    const TimePoint started;
    mutable std::mutex mutex;
    ValueVersion listVersion;
    /// Oldest first; the last is in force. Holds every list that was in force within the last period.
    std::deque<Epoch> epochs;
    std::unordered_map<ResourceId, Grant> grants;
    TimePoint lastPrune;
};

}
