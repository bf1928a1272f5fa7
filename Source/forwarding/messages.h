#pragma once

#include "core/execution.h"
#include "core/refusal.h"
#include "forwarding/endpointset.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lycheewall
{

/// Header fields in the order in which they were received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// The content of a request that is forwarded to endpoints. Does not contain the caller's API key.
struct RequestMessage
{
    /// The caller's id of this attempt; endpoints echo it.
    std::string attemptId;
    std::string method;
    std::string host;
    /// Path and query, unmodified.
    std::string target;
    /// Header fields to forward to the endpoint, without hop-by-hop fields and those that lycheewall sets itself.
    HeaderList headers;
    std::string body;
};

/// One attempt of a caller, as received.
struct CallerRequest : RequestMessage
{
    std::optional<std::string> apiKey;
    TimePoint arrivedAt;
    /// When the caller stops waiting for the reply.
    TimePoint deadline;
};
using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// A complete response of an endpoint.
struct EndpointResponse
{
    int status = 0;
    /// Header fields to forward to the caller.
    HeaderList headers;
    std::string body;
    /// Signature by which the endpoint proves that it ran this request; empty if the response has none.
    std::string signature;
};

/// One request to one endpoint.
struct EndpointCall
{
    EndpointPtr endpoint;
    CallerRequestPtr request;
    /// The caller's organisation; empty on public routes.
    OrganisationId organisation;
    /// When the endpoint may stop working on the request.
    TimePoint deadline;
    /// True if the request must not run twice. It is not sent over an idle connection that the endpoint may be closing.
    bool nonIdempotent = false;
    /// Maximum number of connections of this instance to the endpoint.
    std::size_t connectionLimit = 1;
};

enum class CallResult {
    /// A complete response was received.
    Answered,
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, but no complete, valid response was received; it may have run.
    Lost,
};

struct CallOutcome
{
    CallResult result = CallResult::NotSent;
    EndpointResponse response;

    /// What the outcome tells about the execution of the request.
    Execution execution() const;
};

/**
 * A request in flight to an endpoint.
 * Thread safety: none; used on the thread of the request loop.
 */
class OutgoingCall
{
public:
    virtual ~OutgoingCall() = default;

    /// False while it is certain that no byte of the request was sent.
    virtual bool mayHaveBeenSent() const
    {
        return true;
    }

    /// Cancels the call: its callback is not called any more. If the response does not arrive within @p gracePeriod,
    /// the connection is closed, which tells the endpoint to stop; otherwise the connection stays usable.
    virtual void cancel(Duration gracePeriod) = 0;
};

/**
 * Sends requests to endpoints.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointSender
{
public:
    virtual ~EndpointSender() = default;

    /// Sends a request. @p done is called once, never from within send(), unless the returned call is cancelled first.
    virtual std::shared_ptr<OutgoingCall> send(const EndpointCall &call, std::function<void(CallOutcome)> done) = 0;
};

/// The merged responses of several shards.
struct MergedResponse
{
    std::vector<std::string> signatures;
    std::size_t missingShards = 0;
    std::string body;
};

}
