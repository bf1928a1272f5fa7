#include "http/callerjson.h"

#include "core/refusalstatus.h"

#include <nlohmann/json.hpp>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

/// Objects and arrays deeper than this are refused, because the JSON library recurses over them.
constexpr int maxJsonDepth = 64;

bool depthWithin(const std::string &text, int limit)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char letter = text[at];
        if (inString) {
            at += letter == '\\' ? 1 : 0;
            inString = letter != '"';
        } else if (letter == '"') {
            inString = true;
        } else if (letter == '{' || letter == '[') {
            if (++depth > limit) {
                return false;
            }
        } else if (letter == '}' || letter == ']') {
            --depth;
        }
    }
    return true;
}

ResultOr<json, BodyProblem> readObject(const std::string &body)
{
    if (!depthWithin(body, maxJsonDepth)) {
        return BodyProblem { "body", "at most " + std::to_string(maxJsonDepth) + " levels of JSON" };
    }
    json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return BodyProblem { "body", "a JSON object" };
    }
    return object;
}

std::optional<BodyProblem> checkNames(const json &object, const std::vector<std::string> &known)
{
    for (const auto &[name, value] : object.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return BodyProblem { name, "no such item; known are " + json(known).dump() };
        }
    }
    return std::nullopt;
}

std::optional<BodyProblem> readDeadline(const json &object, const DeadlineRange &range, CallerRequest &request)
{
    request.deadline = range.usual;
    const auto field = object.find("deadline-ms");
    if (field == object.end()) {
        return std::nullopt;
    }
    const std::string expected = "a whole number from 1 to " + std::to_string(range.longest.count());
    if (!field->is_number_integer() || *field < 1 || *field > range.longest.count()) {
        return BodyProblem { "deadline-ms", expected };
    }
    request.deadline = Milliseconds(field->get<std::int64_t>());
    return std::nullopt;
}

/// The items of all parts in one list. Each body is the JSON text of a list or of a single value.
std::string joinResults(const std::vector<PartResult> &results)
{
    std::string text = "[";
    for (const PartResult &result : results) {
        const bool isList = result.body.size() >= 2 && result.body.front() == '[' && result.body.back() == ']';
        const std::string items = isList ? result.body.substr(1, result.body.size() - 2) : result.body;
        if (items.empty()) {
            continue;
        }
        text += text.size() > 1 ? "," : "";
        text += items;
    }
    return text + "]";
}

json coverageJson(const Coverage &coverage)
{
    json missing = json::array();
    for (const MissingPart &part : coverage.missing()) {
        missing.push_back({ { "group", part.group.value() }, { "reason", refusalCode(part.reason) } });
    }
    return { { "shards-asked", coverage.shardsAsked() },
             { "shards-answered", coverage.shardsAnswered() },
             { "documents-asked", coverage.documentsAsked() },
             { "documents-answered", coverage.documentsAnswered() },
             { "missing", missing } };
}

}

ResultOr<CallerRequest, BodyProblem> CallerJson::readQuery(const std::string &body, const DeadlineRange &range)
{
    const auto object = readObject(body);
    if (!object) {
        return object.error();
    }
    CallerRequest request;
    request.query = true;
    if (const auto problem = checkNames(object.value(), { "query", "deadline-ms" })) {
        return *problem;
    }
    if (const auto problem = readDeadline(object.value(), range, request)) {
        return *problem;
    }
    if (!object.value().contains("query")) {
        return BodyProblem { "query", "any JSON value" };
    }
    request.body = object.value()["query"].dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

ResultOr<CallerRequest, BodyProblem> CallerJson::readSingle(const std::string &body, const DeadlineRange &range)
{
    const auto object = readObject(body);
    if (!object) {
        return object.error();
    }
    const json &fields = object.value();
    CallerRequest request;
    request.query = false;
    if (const auto problem = checkNames(fields, { "key", "body", "idempotent", "deadline-ms" })) {
        return *problem;
    }
    if (const auto problem = readDeadline(fields, range, request)) {
        return *problem;
    }
    if (!fields.contains("body")) {
        return BodyProblem { "body", "any JSON value" };
    }
    if (!fields.contains("idempotent") || !fields["idempotent"].is_boolean()) {
        return BodyProblem { "idempotent", "true or false" };
    }
    if (fields.contains("key") && !fields["key"].is_string()) {
        return BodyProblem { "key", "a string" };
    }
    request.idempotent = fields["idempotent"].get<bool>();
    if (fields.contains("key")) {
        request.routingKey = fields["key"].get<std::string>();
    }
    request.body = fields["body"].dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

HttpResponse CallerJson::answer(const CallerAnswer &answer, bool query)
{
    HttpResponse response;
    std::string text = "{\"request-id\":" + json(answer.id.value()).dump();
    if (query) {
        text += ",\"snapshot\":" + std::to_string(answer.snapshot.value());
        text += ",\"coverage\":" + coverageJson(answer.coverage).dump();
    }
    response.body = text + ",\"result\":" + joinResults(answer.results) + "}";
    return response;
}

HttpResponse CallerJson::refusal(const CallerAnswer &answer, bool idempotent)
{
    HttpResponse response;
    response.status = refusalStatus(answer.refusal, answer.execution);
    const bool hasNotRun = answer.execution == Execution::NotRun;
    const bool retry = mayRetry(answer.refusal) && (idempotent || hasNotRun);
    json error { { "code", refusalCode(answer.refusal) },
                 { "message", make_error_code(answer.refusal).message() },
                 { "run", hasNotRun ? "not-run" : "unknown" },
                 { "retry", retry } };
    if (answer.retryAfter > Duration::zero()) {
        response.retryAfterMs = toMilliseconds(answer.retryAfter);
        error["retry-after-ms"] = *response.retryAfterMs;
    }
    response.body = json { { "request-id", answer.id.value() }, { "error", error } }.dump();
    return response;
}

HttpResponse CallerJson::badBody(const RequestId &id, const BodyProblem &problem)
{
    HttpResponse response;
    response.status = refusalStatus(Refusal::BadRequest, Execution::NotRun);
    const json error { { "code", refusalCode(Refusal::BadRequest) },
                       { "message", problem.item + ": expected " + problem.expected },
                       { "item", problem.item },
                       { "run", "not-run" },
                       { "retry", false } };
    response.body = json { { "request-id", id.value() }, { "error", error } }.dump(
        -1, ' ', false, json::error_handler_t::replace);
    return response;
}

bool CallerJson::mayRetry(Refusal refusal)
{
    const int status = refusalStatus(refusal, Execution::NotRun);
    return status == 408 || status == 429 || status >= 500;
}

}
