#include "core/refusalstatus.h"

namespace Lycheewall
{

namespace
{

/// The status of a refusal for a request that has not run, or whose outcome the reason itself names.
int usualStatusOf(Refusal refusal)
{
    switch (refusal) {
    case Refusal::BadRequest:
        return 400;
    case Refusal::KeyMissing:
    case Refusal::KeyUnknown:
        return 401;
    case Refusal::PoolForbidden:
        return 403;
    case Refusal::UnknownPool:
    case Refusal::UnknownRoute:
        return 404;
    case Refusal::MethodNotAllowed:
        return 405;
    case Refusal::RequestTimeout:
        return 408;
    case Refusal::BodyTooLarge:
        return 413;
    case Refusal::RateExceeded:
        return 429;
    case Refusal::HeaderTooLarge:
        return 431;
    case Refusal::OutcomeUnknown:
        return 502;
    case Refusal::DeadlineExceeded:
    case Refusal::DeadlineUnreachable:
        return 504;
    default:
        return 503;
    }
}

}

int refusalStatus(Refusal refusal, Execution execution)
{
    constexpr int badGateway = 502;
    const int status = usualStatusOf(refusal);
    return isTruthfulStatus(status, execution) ? status : badGateway;
}

}
