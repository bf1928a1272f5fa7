#pragma once

#include "http/clientconnection.h"
#include "scheduling/endpointtransport.h"

namespace Lycheewall
{

/// Deepest nesting of an answer's JSON; deeper ones would overflow the stack of code that walks the value recursively.
constexpr int maxAnswerDepth = 64;

/// The text of "POST /run" for an attempt; empty when an id holds control characters.
std::string runRequestText(const EndpointRequest &request, const std::string &host, Duration remaining);

/// The text of "POST /cancel/<attempt>".
std::string cancelRequestText(AttemptId attempt, const std::string &host);

/// What a response to "POST /run" says. Anything but 200 with a valid body and 503 with Lycheewall-Not-Run is
/// Unknown/OutcomeUnknown.
EndpointAnswer readRunResponse(const boost::beast::http::response<boost::beast::http::string_body> &response);

}
