#pragma once

#include "query/partrouter.h"
#include "routing/localgroups.h"

#include <map>

namespace Lycheewall
{

/// Where one part of a submission stands.
enum class PartStage {
    /// Not sent, or certainly not run by whoever had it.
    Waiting,
    /// With this instance's own scheduler.
    Local,
    /// Handed to a peer.
    Remote
};

/// One group's share of a submission. A part that has ended is removed from its submission.
struct RoutedPart
{
    PartStage stage = PartStage::Waiting;
    InstanceId sentTo;
    std::uint64_t wireId = 0;
    TaskId task {};
    /// When a waiting part may be sent.
    TimePoint notBefore;
    /// An owner that named somebody else as the holder.
    std::optional<InstanceId> hint;
    int redirects = 0;
    /// An owner that is lost had the part, so no later refusal can say that it did not run.
    bool mayHaveRun = false;
    /// Why the part is not running; the answer when the deadline comes first.
    Refusal lastRefusal = Refusal::NoOwner;
};

/// The parts that were submitted together and have not ended.
struct Submission
{
    PartRequest request;
    TimePoint deadline;
    std::map<GroupId, RoutedPart> parts;
    /// Frames that carried parts.
    std::vector<std::uint64_t> wireIds;
    std::function<void(PartOutcome)> callback;
};

}
