#pragma once

#include "core/refusal.h"
#include "forwarding/endpointset.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lycheewall
{

/// Header fields in the order in which they came.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What endpoints get of a request. The caller's key is not part of it.
struct RequestMessage
{
    /// The caller's id of this attempt; endpoints echo it.
    std::string attemptId;
    std::string method;
    std::string host;
    /// Path and query, unchanged.
    std::string target;
    /// Fields that go on to the endpoint; none that concern one connection or that lycheewall sets itself.
    HeaderList headers;
    std::string body;
};

/// One attempt of a caller, as it arrived.
struct CallerRequest : RequestMessage
{
    std::optional<std::string> apiKey;
    TimePoint arrivedAt;
    /// When the caller stops waiting.
    TimePoint deadline;
};
using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// A whole answer of an endpoint.
struct EndpointResponse
{
    int status = 0;
    /// Fields that go on to the caller.
    HeaderList headers;
    std::string body;
    /// Proof that this endpoint ran this request; empty when the answer has none.
    std::string signature;
};

/// One request to one endpoint.
struct EndpointCall
{
    EndpointPtr endpoint;
    CallerRequestPtr request;
    /// Whose request it is; empty on open routes.
    OrganisationId organisation;
    /// When the endpoint may stop work.
    TimePoint deadline;
    /// True when the request must not run twice: an idle connection that may just be closing is not used for it.
    bool nonIdempotent = false;
    /// Connections that this instance may have to the endpoint.
    std::size_t connectionLimit = 1;
};

enum class CallResult {
    /// A whole answer arrived.
    Answered,
    /// The endpoint says that it did not run the request.
    NotRun,
    /// Nothing of the request left this instance.
    NotSent,
    /// Sent, and no trustworthy answer came; it may have run.
    Lost,
};

struct CallOutcome
{
    CallResult result = CallResult::NotSent;
    EndpointResponse response;
};

/**
 * A request on its way to an endpoint.
 * Thread safety: none; used on the thread of the request loop.
 */
class OutgoingCall
{
public:
    virtual ~OutgoingCall() = default;

    /// Nobody waits for the answer any more; the callback will not be called. The endpoint is told by closing the
    /// connection if no answer arrives within @p gracePeriod; an answer in time leaves the connection usable.
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

    /// Starts a call. @p done is called once, never from within send().
    virtual std::shared_ptr<OutgoingCall> send(const EndpointCall &call, std::function<void(CallOutcome)> done) = 0;
};

/// An answer put together from the parts of several shards.
struct MergedResponse
{
    std::vector<std::string> signatures;
    std::size_t missingShards = 0;
    std::string body;
};

/// The final answer to a caller. Exactly one of the three is set.
struct ForwardReply
{
    std::optional<EndpointResponse> response;
    std::optional<MergedResponse> merged;
    Refusal refusal = Refusal::None;
    /// With a refusal: true when the request has not run and never will.
    bool notRun = false;
    /// With a refusal: when another try can succeed.
    std::optional<Duration> retryAfter;
};

}
