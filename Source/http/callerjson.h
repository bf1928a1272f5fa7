#pragma once

#include "catalogue/catalogue.h"
#include "coordinator/callerrequest.h"
#include "http/httpmessages.h"

namespace Lycheewall
{

/// A body that cannot be read: the offending item and what was expected there.
struct BodyProblem
{
    std::string item;
    std::string expected;
};

/// What the deadline of a request may be.
struct DeadlineRange
{
    Milliseconds usual { 2000 };
    Milliseconds longest { 5000 };
};

/**
 * JSON of the caller's interface. Thread safety: static functions without state.
 */
class CallerJson
{
public:
    /// Reads the body of a query into @p request.
    static ResultOr<CallerRequest, BodyProblem> readQuery(const std::string &body, const DeadlineRange &range);

    /// Reads the body of a request to one server.
    static ResultOr<CallerRequest, BodyProblem> readSingle(const std::string &body, const DeadlineRange &range);

    static HttpResponse answer(const CallerAnswer &answer, bool query);
    static HttpResponse refusal(const CallerAnswer &answer, bool idempotent);
    static HttpResponse badBody(const RequestId &id, const BodyProblem &problem);

    /// True when the same request may succeed later or at another instance.
    static bool mayRetry(Refusal refusal);
};

}
