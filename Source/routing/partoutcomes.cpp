#include "routing/partoutcomes.h"

namespace Lycheewall
{

PartOutcome endedPart(const GroupId &group, AttemptOutcome outcome, Refusal reason)
{
    PartOutcome ended;
    ended.group = group;
    ended.outcome = outcome;
    ended.reason = reason;
    return ended;
}

PartOutcome fromAnswer(const SubAnswer &answer)
{
    PartOutcome outcome = endedPart(answer.part, answer.outcome, answer.reason);
    outcome.snapshot = answer.snapshot;
    outcome.documents = answer.documents;
    outcome.body = answer.body;
    outcome.endpoint = answer.endpoint;
    outcome.hedges = answer.hedges;
    outcome.retries = answer.retries;
    outcome.queued = std::chrono::microseconds(answer.queuedUs);
    outcome.service = std::chrono::microseconds(answer.serviceUs);
    outcome.queueLength = answer.queueLength;
    return outcome;
}

PartOutcome fromGroup(const GroupId &group, const GroupOutcome &ended)
{
    PartOutcome outcome = endedPart(group, ended.outcome, ended.reason);
    outcome.snapshot = ended.snapshot;
    outcome.documents = ended.documents;
    outcome.body = ended.body;
    outcome.endpoint = ended.endpoint;
    outcome.hedges = ended.hedges;
    outcome.retries = ended.retries;
    outcome.queued = ended.queued;
    outcome.service = ended.service;
    outcome.queueLength = ended.queueLength;
    return outcome;
}

}
