#pragma once

#include "peer/codec/messages.h"
#include "query/partrouter.h"
#include "scheduling/groupscheduler.h"

namespace Lycheewall
{

/// The end of a part that has no result.
PartOutcome endedPart(const GroupId &group, AttemptOutcome outcome, Refusal reason);

/// The outcome that a peer reports.
PartOutcome fromAnswer(const SubAnswer &answer);

/// The outcome that the scheduler of an owned group reports.
PartOutcome fromGroup(const GroupId &group, const GroupOutcome &ended);

}
