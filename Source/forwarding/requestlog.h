#pragma once

#include "core/clock.h"
#include "forwarding/messages.h"

#include <string>

namespace Lycheewall
{

/**
 * Writes a line for each request that was refused, late or answered without some parts, so that its cause can be found
 * from its id. Writes a bounded number of lines a second and counts the rest.
 * Thread safety: none; used on the thread of the request loop.
 */
class RequestLog
{
public:
    explicit RequestLog(const Clock &clock);

    /// @p detail says what decided, as "name=value" pairs.
    void write(const CallerRequest &request, const std::string &outcome, const std::string &detail);

private:
    const Clock &clock;
    TimePoint second;
    int lines = 0;
    std::uint64_t leftOut = 0;
};

}
