#pragma once

#include "forwarding/messages.h"

namespace Lycheewall
{

/**
 * One attempt of a ServiceCall at an endpoint.
 * Thread safety: none; used on the thread of the request loop.
 */
struct ServiceAttempt
{
    EndpointPtr endpoint;
    EndpointStats::Token token = 0;
    TimePoint startedAt;
    std::shared_ptr<OutgoingCall> call;
    bool usesBudget = false;
    bool ended = false;
    CallResult result = CallResult::Answered;
    /// Of the endpoint's response, once the attempt has ended with one.
    int status = 0;
    /// Set while the process of the endpoint is not registered: when this was first seen.
    std::optional<TimePoint> removalSeenAt;
    /// True if another process is registered under the id of the endpoint.
    bool isReplaced = false;

    /// Records in the statistics of the endpoint how the attempt ended at @p now.
    void recordOutcome(const CallOutcome &outcome, TimePoint now) const;

    /// Records the end of an attempt whose response is not needed any more, and cancels its call, which may take up to
    /// @p gracePeriod to complete.
    void cancel(TimePoint now, Duration gracePeriod);

    /// True while an endpoint may be running the request.
    bool mayBeRunning() const;

    /// True if the attempt is in flight and has had no response for @p implausibleLatency.
    bool isSilent(Duration implausibleLatency, TimePoint now) const;

    /// Records at @p now whether the process of the endpoint is registered. An entry that was removed may come back.
    void observeRegistration(const EndpointSet &endpoints, TimePoint now);

    /// True if the attempt is in flight and no response is expected: another process runs under the id of the endpoint
    /// for some time, or there was no response for @p implausibleLatency since its removal was seen. A removal alone is
    /// no evidence, as an endpoint that has left cleanly still responds to what it runs.
    bool isGone(Duration implausibleLatency, TimePoint now) const;

    /// Text for a log line: the endpoint, the time since the start in ms and the state.
    std::string describe(TimePoint now) const;
};
using ServiceAttemptPtr = std::shared_ptr<ServiceAttempt>;

/// True if the status states a failure that another endpoint may not share: an error of the endpoint, or one that
/// cannot be passed on because it promises callers that the request has not run.
bool isRetryable(const EndpointResponse &response);

/// True if the endpoint failed to serve the request: an error of its own, or no signature.
bool isFailure(const EndpointResponse &response);

/// True if the response has a success status and the endpoint's signature.
bool isSuccess(const EndpointResponse &response);

}
