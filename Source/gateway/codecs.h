#pragma once

#include "core/result.h"
#include "forwarding/endpointstatement.h"
#include "forwarding/forwardreply.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Lycheewall
{

using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * Decodes the HTTP requests of callers and encodes the replies.
 * Thread safety: any thread.
 */
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    /// Decodes a complete request. Errors: Refusal::BadRequest.
    virtual Result<CallerRequestPtr> decode(const HttpRequestMessage &message, TimePoint arrivedAt) const = 0;

    /// Returns the response without connection-specific header fields. @p request is null if it could not be decoded.
    virtual HttpResponseMessage encode(const ForwardReply &reply, const CallerRequest *request) const = 0;
};

/// Metadata from the header of an endpoint's response.
struct EndpointResponseMetadata
{
    /// The id of the request that this response belongs to; std::nullopt if the endpoint sent none.
    std::optional<std::string> attemptId;
    /// The endpoint states that it did not run the request.
    bool notRun = false;
    std::optional<LoadReport> load;
    /// Remaining warm-up time of the endpoint; std::nullopt if the endpoint sent none.
    std::optional<Duration> remainingWarmup;
    EndpointStatement statement;
};

/**
 * Encodes HTTP requests to endpoints and decodes the responses.
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

/// Returns the end-to-end header fields: all of @p fields except those that apply to a single connection.
HeaderList endToEndFields(const boost::beast::http::fields &fields);

}
