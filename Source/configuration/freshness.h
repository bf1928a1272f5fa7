#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Lycheewall
{

/**
 * Age of the last evidence that this instance still learns of changes. Nothing here depends on a timer: the times are
 * compared at the moment of the question, so the answer is right at once after a pause of the process.
 * Thread safety: any thread.
 */
class Freshness
{
public:
    /// @p clock must outlive the object. @p limit is the greatest age at which evidence still counts.
    explicit Freshness(const Clock &clock, Duration limit = std::chrono::seconds(3));

    /// Notes a platform read that was asked for and answered just now.
    void platformRead();

    /// Notes a platform read whose answer was true at @p moment. An answer that waited in a socket while the process
    /// was paused is as old as its request, so callers pass the moment of asking. Older moments are ignored.
    void platformRead(TimePoint moment);

    /// Sets the listed instances other than oneself, and whether oneself is listed. Evidence from instances that stay
    /// listed is kept.
    void setMembers(const std::vector<InstanceId> &others, bool selfListed = true);

    /// Notes evidence from a listed instance at this moment; unlisted instances are ignored.
    void heard(const InstanceId &instance);

    /// Notes that @p instance was alive at @p moment, usually when the answered ping was sent.
    void heard(const InstanceId &instance, TimePoint moment);

    /// True when neither the platform nor a majority of the listed instances was heard within the limit.
    bool cutOff() const;

    /// True when a majority of the listed instances, oneself included, was heard within the limit. False for an empty
    /// list.
    bool majorityHeard() const;

    /// Age of the last successful platform read; Duration::max() when there was none.
    Duration platformAge() const;

private:
    bool majorityAt(TimePoint now) const;
    TimePoint majorityEnd() const;

    const Clock &clock;
    const Duration limit;
    mutable std::mutex mutex;
    std::optional<TimePoint> lastRead;
    std::map<InstanceId, std::optional<TimePoint>> members;
    bool selfCounts = false;
    /// Moment at which the evidence of a majority ends. Kept because the question comes with each admission and each
    /// dispatch, and the list may have thousands of members.
    mutable TimePoint majorityUntil = TimePoint::min();
    /// True when evidence came since majorityUntil was computed.
    mutable bool evidenceChanged = false;
};

}
