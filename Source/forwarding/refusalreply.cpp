#include "forwarding/refusalreply.h"

namespace Lycheewall
{

namespace
{

/// Time after which another endpoint may have room or a lost one may be back.
constexpr Duration retryPause = Milliseconds(100);

}

ForwardReply makeRefusalReply(const ServiceResult &result)
{
    ForwardReply reply;
    reply.notRun = !result.mayHaveRun;
    reply.refusal = result.reason == Refusal::None ? Refusal::EndpointUnavailable : result.reason;
    if (reply.notRun) {
        reply.retryAfter = retryPause;
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
