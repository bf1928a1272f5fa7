#include "forwarding/refusalreply.h"

namespace Lycheewall
{

namespace
{

/// Retry-after time, by which another endpoint may have free slots or a failed one may be available again.
constexpr Duration defaultRetryAfter = Milliseconds(100);
/// Refused callers return within this time after requests are taken again.
constexpr Duration retrySpread = Milliseconds(200);

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

Duration spreadRetryAfter(Duration wait, Random &random)
{
    return wait + fromSeconds(random.uniformReal() * fractionalSeconds(retrySpread));
}

Duration longestSpreadRetryAfter(Duration wait)
{
    return wait + retrySpread;
}

ForwardReply makeDeadlineReply(bool mayHaveRun)
{
    ForwardReply reply;
    reply.refusal = mayHaveRun ? Refusal::DeadlineExceeded : Refusal::DeadlineUnreachable;
    reply.notRun = !mayHaveRun;
    return reply;
}

}
