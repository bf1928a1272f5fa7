#pragma once

#include "core/clock.h"
#include "forwarding/messages.h"

#include <string>

namespace Lycheewall
{

/**
 * Logs each request whose reply was a refusal, was late or lacked some shards, so that operators can find the cause by
 * the request's id. Writes a limited number of lines per second; further lines are suppressed and counted.
 * Thread safety: none; used on the thread of the request loop.
 */
class RequestLog
{
public:
    explicit RequestLog(const Clock &clock);

    /// Writes a line for @p request. @p outcome is a refusal code or a word such as "late"; @p detail states the cause
    /// as "name=value" pairs.
    void write(const CallerRequest &request, const std::string &outcome, const std::string &detail);

private:
    const Clock &clock;
    TimePoint windowStart;
    int linesInWindow = 0;
    std::uint64_t suppressedLines = 0;
};

}
