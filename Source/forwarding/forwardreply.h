#pragma once

#include "core/execution.h"
#include "forwarding/messages.h"

namespace Lycheewall
{

/**
 * The reply to a caller: the response of an endpoint, the merged responses of several shards, or a refusal. Its factory
 * functions are the one place that decides what a reply states about the execution of the request. A reply whose status
 * promises "not run" exists only for a request that no endpoint has run or will run.
 * Thread safety: none; used on the thread of the request loop.
 */
class ForwardReply
{
public:
    /// The response of an endpoint, as it is. A refusal with Refusal::OutcomeUnknown takes its place if its status
    /// would promise something else than what is known of the request, @p execution: endpoints choose the status of a
    /// failure freely, also after they have run the request.
    static ForwardReply fromResponse(const EndpointResponse &response, Execution execution);

    /// The merged responses of the shards of a query.
    static ForwardReply fromMerged(MergedResponse merged);

    /// A refusal of this instance. @p reason is replaced by one that promises nothing unless @p execution is
    /// Execution::NotRun: by Refusal::DeadlineExceeded after the deadline, otherwise by Refusal::OutcomeUnknown. Only a
    /// request that has not run gets @p retryAfter, the time after which a retry can succeed.
    static ForwardReply refused(Refusal reason, Execution execution, std::optional<Duration> retryAfter = std::nullopt);

    /// A refusal by overload control, which rejects requests before anything is sent.
    static ForwardReply rejectedForOverload(Refusal reason, Duration retryAfter);

    /// Exactly one of response(), merged() and a refusal() other than Refusal::None is set.
    const std::optional<EndpointResponse> &response() const;
    const std::optional<MergedResponse> &merged() const;
    Refusal refusal() const;

    /// What is known of the request.
    Execution execution() const;

    /// With a refusal: the time after which a retry can succeed; std::nullopt if none is known.
    std::optional<Duration> retryAfter() const;

    bool isOverloadRejection() const;

private:
    explicit ForwardReply(Execution execution);

    std::optional<EndpointResponse> endpointResponse;
    std::optional<MergedResponse> mergedResponse;
    Refusal reason = Refusal::None;
    Execution knownExecution;
    std::optional<Duration> timeToRetry;
    bool wasRejectedForOverload = false;
};

}
