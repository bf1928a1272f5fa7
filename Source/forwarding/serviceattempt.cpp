#include "forwarding/serviceattempt.h"

namespace Lycheewall
{

namespace
{

/// A response that a process has sent before its end arrives within this time.
constexpr Duration lastResponseTime = Milliseconds(100);
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;

const char *callResultName(CallResult result)
{
    switch (result) {
    case CallResult::Answered:
        return "answered";
    case CallResult::NotRun:
        return "not-run";
    case CallResult::NotSent:
        return "not-sent";
    case CallResult::Lost:
        return "lost";
    }
    return "unknown";
}

}

void ServiceAttempt::recordOutcome(const CallOutcome &outcome, TimePoint now) const
{
    EndpointStats &stats = this->endpoint->stats;
    switch (outcome.result) {
    case CallResult::Answered:
        if (isFailure(outcome.response)) {
            stats.requestFailed(this->token, now);
        } else {
            stats.requestSucceeded(this->token, now);
        }
        return;
    case CallResult::NotRun:
        stats.requestRejected(this->token, now);
        return;
    case CallResult::NotSent:
        // The endpoint has asked for fewer requests while this one waited for a connection; it has not failed.
        if (this->endpoint->wantsNoRequests(now)) {
            stats.requestCancelled(this->token, now);
            return;
        }
        stats.requestFailed(this->token, now);
        return;
    case CallResult::Lost:
        stats.requestFailed(this->token, now);
        return;
    }
}

void ServiceAttempt::cancel(TimePoint now, Duration gracePeriod)
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    this->endpoint->stats.requestCancelled(this->token, now);
    if (this->call) {
        this->call->cancel(gracePeriod);
    }
}

bool ServiceAttempt::mayBeRunning() const
{
    return !this->ended && (!this->call || this->call->mayHaveBeenSent());
}

bool ServiceAttempt::isSilent(Duration implausibleLatency, TimePoint now) const
{
    return !this->ended && now - this->startedAt >= implausibleLatency;
}

void ServiceAttempt::observeRegistration(const EndpointSet &endpoints, TimePoint now)
{
    if (this->endpoint->registered) {
        return;
    }
    const EndpointPtr current = endpoints.find(this->endpoint->record.id);
    const bool isSameProcess = current && current->record.processStartMs == this->endpoint->record.processStartMs;
    this->isReplaced = current && !isSameProcess;
    if (isSameProcess) {
        this->removalSeenAt.reset();
    } else if (!this->removalSeenAt) {
        this->removalSeenAt = now;
    }
}

bool ServiceAttempt::isGone(Duration implausibleLatency, TimePoint now) const
{
    if (this->ended || !this->removalSeenAt) {
        return false;
    }
    return now - *this->removalSeenAt >= (this->isReplaced ? lastResponseTime : implausibleLatency);
}

std::string ServiceAttempt::describe(TimePoint now) const
{
    std::string text
        = this->endpoint->record.id.value() + '/' + std::to_string(toMilliseconds(now - this->startedAt)) + '/';
    text += this->ended ? callResultName(this->result) : "waiting";
    if (this->status != 0) {
        text += '-' + std::to_string(this->status);
    }
    return text;
}

bool isRetryable(const EndpointResponse &response)
{
    return response.status >= firstServerError || promisesNotRun(response.status);
}

bool isFailure(const EndpointResponse &response)
{
    return isRetryable(response) || response.signature.empty();
}

bool isSuccess(const EndpointResponse &response)
{
    return response.status >= firstSuccess && response.status < firstRedirect && !response.signature.empty();
}

}
