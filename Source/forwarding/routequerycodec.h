#pragma once

#include "core/urlquery.h"
#include "forwarding/routeexplanation.h"

#include <string>
#include <string_view>

namespace Lycheewall
{

enum class ExplanationFormat { Text, Json };

/// The content type of an explanation in this format.
std::string_view contentTypeOf(ExplanationFormat format);

/// A request for an explanation, as it is sent to the metrics address of an instance.
struct ExplanationRequest
{
    RouteQuery query;
    ExplanationFormat format = ExplanationFormat::Json;
};

/// True if a request with this path and query asks for an explanation. Thread safety: any thread.
bool isExplanationTarget(std::string_view target);

/// The path and query of a request for an explanation. Thread safety: any thread.
std::string encodeExplanationTarget(const ExplanationRequest &request);

/// Decodes what encodeExplanationTarget() returns. Fails on unknown, missing and invalid parameters. Thread safety: any
/// thread. Precondition: isExplanationTarget(@p target).
ResultOr<ExplanationRequest, UrlQueryProblem> decodeExplanationTarget(std::string_view target);

}
