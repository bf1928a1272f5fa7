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
    const Refusal reason = result.reason == Refusal::None ? Refusal::EndpointUnavailable : result.reason;
    return ForwardReply::refused(reason, result.execution, result.retryAfter.value_or(defaultRetryAfter));
}

Duration spreadRetryAfter(Duration wait, Random &random)
{
    return wait + fromSeconds(random.uniformReal() * fractionalSeconds(retrySpread));
}

Duration longestSpreadRetryAfter(Duration wait)
{
    return wait + retrySpread;
}

ForwardReply makeDeadlineReply(Execution execution)
{
    return ForwardReply::refused(Refusal::DeadlineExceeded, execution);
}

}
