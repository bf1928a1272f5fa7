#pragma once

#include "core/clock.h"
#include "core/execution.h"
#include "core/refusal.h"
#include "core/strongid.h"

#include <functional>
#include <string>

namespace Lycheewall
{

/// One attempt of a sub-request at one endpoint.
struct EndpointRequest
{
    AttemptId attempt;
    RequestId request;
    OrganisationId organisation;
    PoolId pool;
    GroupId group;
    /// The index version that has to answer; 0 for pools without snapshots.
    SnapshotVersion snapshot;
    /// Time left until the caller's deadline.
    Duration remaining {};
    bool idempotent = true;
    std::string body;
};

/// What is known about an attempt when it ends.
enum class AttemptOutcome {
    Answered,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown
};

/// What an attempt tells about the execution of its request. Thread safety: any thread.
constexpr Execution executionOf(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Answered) {
        return Execution::Ran;
    }
    return outcome == AttemptOutcome::NotRun ? Execution::NotRun : Execution::Unknown;
}

struct EndpointAnswer
{
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    /// Refusal::None when answered.
    Refusal reason = Refusal::None;
    SnapshotVersion snapshot;
    GroupId group;
    /// Changes when the endpoint's process was restarted.
    Incarnation incarnation;
    std::uint64_t documents = 0;
    std::string body;
    /// From the moment the request was handed to the connection to the end of the answer.
    Duration serviceTime {};
};

/**
 * Sends attempts to endpoints over pooled connections.
 * Thread safety: any thread. The callback of start() runs once, on any thread, never inside start() or cancel().
 */
class EndpointTransport
{
public:
    using Callback = std::function<void(EndpointAnswer)>;

    virtual ~EndpointTransport() = default;

    /// Starts an attempt. @p connectionBudget is the number of connections that may be open to the endpoint at most.
    virtual void
    start(const EndpointId &endpoint, const EndpointRequest &request, int connectionBudget, Callback callback)
        = 0;

    /// Asks the endpoint to cancel; the callback still runs, with whatever is then known.
    virtual void cancel(const EndpointId &endpoint, AttemptId attempt) = 0;

    /// Closes all connections to an endpoint as soon as they are idle.
    virtual void closeIdle(const EndpointId &endpoint) = 0;
};

}
