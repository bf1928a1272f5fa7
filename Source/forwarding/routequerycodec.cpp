#include "forwarding/routequerycodec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <functional>

namespace Lycheewall
{

namespace
{

constexpr std::string_view explanationPath = "/explain";
constexpr std::string_view textFormat = "text";
constexpr std::string_view jsonFormat = "json";
/// Longer deadlines could overflow when they are added to the current time.
constexpr std::int64_t maxDeadlineMs = std::int64_t { 24 } * 3600 * 1000;

/// Returns what is wrong with the value; empty if nothing is.
using ParameterReader = std::function<std::string(const std::string &value, ExplanationRequest &request)>;

std::string readPath(const std::string &value, ExplanationRequest &request)
{
    request.query.target = value;
    return value.empty() || value.front() != '/' ? "does not begin with a slash" : "";
}

std::string readDeadline(const std::string &value, ExplanationRequest &request)
{
    std::int64_t milliseconds = 0;
    const char *const end = value.data() + value.size();
    const auto [parsedEnd, error] = std::from_chars(value.data(), end, milliseconds);
    if (error != std::errc() || parsedEnd != end || milliseconds < 1 || milliseconds > maxDeadlineMs) {
        return "is no whole number from 1 to " + std::to_string(maxDeadlineMs);
    }
    request.query.deadline = Milliseconds(milliseconds);
    return "";
}

std::string readFormat(const std::string &value, ExplanationRequest &request)
{
    request.format = value == textFormat ? ExplanationFormat::Text : ExplanationFormat::Json;
    return value == textFormat || value == jsonFormat ? "" : "is neither text nor json";
}

const std::map<std::string, ParameterReader> &parameterReaders()
{
    static const std::map<std::string, ParameterReader> readers {
        { "host",
          [](const std::string &value, ExplanationRequest &request) {
              request.query.host = value;
              return std::string(value.empty() ? "is empty" : "");
          } },
        { "path", &readPath },
        { "method",
          [](const std::string &value, ExplanationRequest &request) {
              request.query.method = value;
              return std::string(value.empty() ? "is empty" : "");
          } },
        { "organisation",
          [](const std::string &value, ExplanationRequest &request) {
              request.query.organisation = OrganisationId(value);
              return std::string(value.empty() ? "is empty" : "");
          } },
        { "deadline-ms", &readDeadline },
        { "format", &readFormat },
    };
    return readers;
}

/// The values are written to terminals.
bool hasControlCharacter(const std::string &value)
{
    return std::any_of(
        value.begin(), value.end(), [](unsigned char character) { return std::iscntrl(character) != 0; });
}

}

std::string_view contentTypeOf(ExplanationFormat format)
{
    return format == ExplanationFormat::Json ? "application/json" : "text/plain; charset=utf-8";
}

bool isExplanationTarget(std::string_view target)
{
    return target.substr(0, target.find('?')) == explanationPath;
}

std::string encodeExplanationTarget(const ExplanationRequest &request)
{
    const RouteQuery &query = request.query;
    std::string target(explanationPath);
    target += "?host=" + percentEncode(query.host) + "&path=" + percentEncode(query.target)
        + "&method=" + percentEncode(query.method);
    if (query.organisation) {
        target += "&organisation=" + percentEncode(query.organisation->value());
    }
    if (query.deadline) {
        target += "&deadline-ms=" + std::to_string(toMilliseconds(*query.deadline));
    }
    target += "&format=";
    target += request.format == ExplanationFormat::Json ? jsonFormat : textFormat;
    return target;
}

ResultOr<ExplanationRequest, UrlQueryProblem> decodeExplanationTarget(std::string_view target)
{
    const auto parameters = decodeUrlQuery(target);
    if (!parameters) {
        return failure(parameters.error());
    }
    ExplanationRequest request;
    for (const auto &[name, value] : parameters.value()) {
        const auto reader = parameterReaders().find(name);
        if (reader == parameterReaders().end()) {
            return failure(UrlQueryProblem { name, "is unknown" });
        }
        if (hasControlCharacter(value)) {
            return failure(UrlQueryProblem { name, "contains a control character" });
        }
        const std::string problem = reader->second(value, request);
        if (!problem.empty()) {
            return failure(UrlQueryProblem { name, problem });
        }
    }
    for (const char *required : { "host", "path" }) {
        if (parameters.value().count(required) == 0) {
            return failure(UrlQueryProblem { required, "is missing" });
        }
    }
    return success(request);
}

}
