#pragma once

#include "core/result.h"
#include "forwarding/messages.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Lycheewall
{

using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * How requests of callers and final answers look on the wire.
 * Thread safety: any thread.
 */
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    /// Reads a whole request. Errors: Refusal::BadRequest.
    virtual Result<CallerRequestPtr> decode(const HttpRequestMessage &message, TimePoint arrivedAt) const = 0;

    /// The response without connection fields. @p request may be null when it could not be read.
    virtual HttpResponseMessage encode(const ForwardReply &reply, const CallerRequest *request) const = 0;
};

/// What the header of an endpoint's response says.
struct EndpointResponseMetadata
{
    /// The id of the request that this response belongs to; nothing when the endpoint named none.
    std::optional<std::string> attemptId;
    /// The endpoint did not run the request.
    bool notRun = false;
    std::optional<LoadReport> load;
    /// How much longer the endpoint is cold.
    std::optional<Duration> remainingWarmup;
};

/**
 * How requests to endpoints and their answers look on the wire.
 * Thread safety: any thread.
 */
class EndpointCodec
{
public:
    virtual ~EndpointCodec() = default;
    virtual HttpRequestMessage encode(const EndpointCall &call, TimePoint now) const = 0;
    virtual EndpointResponseMetadata inspect(const HttpResponseMessage &message) const = 0;
    virtual EndpointResponse decode(HttpResponseMessage &&message) const = 0;
};

/// Copies the fields of @p message that do not concern one connection only.
HeaderList endToEndFields(const boost::beast::http::fields &fields);

}
