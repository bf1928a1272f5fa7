#include "forwarding/requestlog.h"

#include "core/log.h"

namespace Lycheewall
{

namespace
{

/// Bounds the cost of a flood of refusals.
constexpr int linesPerSecond = 20;

}

RequestLog::RequestLog(const Clock &journalClock)
    : clock(journalClock)
{
}

void RequestLog::write(const CallerRequest &request, const std::string &outcome, const std::string &detail)
{
    const TimePoint now = this->clock.now();
    if (now - this->second >= std::chrono::seconds(1)) {
        this->second = now;
        this->lines = 0;
        if (this->leftOut > 0) {
            Log::component("request").info("Lines left out: " + std::to_string(this->leftOut) + ".");
            this->leftOut = 0;
        }
    }
    if (++this->lines > linesPerSecond) {
        ++this->leftOut;
        return;
    }
    Log::component("request").info("request=" + request.attemptId + " outcome=" + outcome
                                   + " ms=" + std::to_string(toMilliseconds(now - request.arrivedAt)) + ' ' + detail);
}

}
