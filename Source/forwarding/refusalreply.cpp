#include "forwarding/refusalreply.h"

namespace Lycheewall
{

namespace
{

/// Retry-after time, by which another endpoint may have free slots or a failed one may be available again.
constexpr Duration defaultRetryAfter = Milliseconds(100);

}

ForwardReply makeRefusalReply(const ServiceResult &result)
{
    ForwardReply reply;
    reply.notRun = !result.mayHaveRun;
    reply.refusal = result.reason == Refusal::None ? Refusal::EndpointUnavailable : result.reason;
    if (reply.notRun) {
        reply.retryAfter = result.retryAfter.value_or(defaultRetryAfter);
    } else {
        reply.refusal = Refusal::OutcomeUnknown;
    }
    return reply;
}

ForwardReply makeDeadlineReply()
{
    ForwardReply reply;
    reply.refusal = Refusal::DeadlineExceeded;
    return reply;
}

}
