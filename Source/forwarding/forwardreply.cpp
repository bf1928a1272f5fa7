#include "forwarding/forwardreply.h"

namespace Lycheewall
{

namespace
{

/// The reason that a caller gets. "Deadline unreachable" means that the request was not sent in time, "deadline
/// exceeded" that its response did not arrive in time.
Refusal truthfulReason(Refusal reason, Execution execution)
{
    if (execution == Execution::NotRun) {
        return reason == Refusal::DeadlineExceeded ? Refusal::DeadlineUnreachable : reason;
    }
    return reason == Refusal::DeadlineExceeded ? reason : Refusal::OutcomeUnknown;
}

}

ForwardReply::ForwardReply(Execution execution)
    : knownExecution(execution)
{
}

ForwardReply ForwardReply::fromResponse(const EndpointResponse &response, Execution execution)
{
    if (!isTruthfulStatus(response.status, execution)) {
        return refused(Refusal::OutcomeUnknown, execution);
    }
    ForwardReply reply(execution);
    reply.endpointResponse = response;
    return reply;
}

ForwardReply ForwardReply::fromMerged(MergedResponse merged)
{
    ForwardReply reply(Execution::Ran);
    reply.mergedResponse = std::move(merged);
    return reply;
}

ForwardReply ForwardReply::refused(Refusal reason, Execution execution, std::optional<Duration> retryAfter)
{
    ForwardReply reply(execution);
    reply.reason = truthfulReason(reason, execution);
    if (execution == Execution::NotRun) {
        reply.timeToRetry = retryAfter;
    }
    return reply;
}

ForwardReply ForwardReply::rejectedForOverload(Refusal reason, Duration retryAfter)
{
    ForwardReply reply = refused(reason, Execution::NotRun, retryAfter);
    reply.wasRejectedForOverload = true;
    return reply;
}

const std::optional<EndpointResponse> &ForwardReply::response() const
{
    return this->endpointResponse;
}

const std::optional<MergedResponse> &ForwardReply::merged() const
{
    return this->mergedResponse;
}

Refusal ForwardReply::refusal() const
{
    return this->reason;
}

Execution ForwardReply::execution() const
{
    return this->knownExecution;
}

std::optional<Duration> ForwardReply::retryAfter() const
{
    return this->timeToRetry;
}

bool ForwardReply::isOverloadRejection() const
{
    return this->wasRejectedForOverload;
}

}
