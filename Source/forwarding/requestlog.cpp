#include "forwarding/requestlog.h"

#include "core/log.h"

namespace Lycheewall
{

namespace
{

/// Limits the cost of logging when many requests are refused.
constexpr int maxLinesPerSecond = 20;

}

RequestLog::RequestLog(const Clock &logClock)
    : clock(logClock)
{
}

void RequestLog::write(const CallerRequest &request, const std::string &outcome, const std::string &detail)
{
    const TimePoint now = this->clock.now();
    if (now - this->windowStart >= std::chrono::seconds(1)) {
        this->windowStart = now;
        this->linesInWindow = 0;
        if (this->suppressedLines > 0) {
            Log::component("request").info("Suppressed request log lines: " + std::to_string(this->suppressedLines)
                                           + ".");
            this->suppressedLines = 0;
        }
    }
    if (++this->linesInWindow > maxLinesPerSecond) {
        ++this->suppressedLines;
        return;
    }
    Log::component("request").info("request=" + request.attemptId + " outcome=" + outcome
                                   + " ms=" + std::to_string(toMilliseconds(now - request.arrivedAt)) + ' ' + detail);
}

}
