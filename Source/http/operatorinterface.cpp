#include "http/operatorinterface.h"

#include "core/refusalstatus.h"

#include <nlohmann/json.hpp>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

constexpr std::string_view requestsPrefix = "/requests/";

std::string_view outcomeText(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NotRun:
        return "not-run";
    default:
        return "unknown";
    }
}

json partJson(const PartTrace &part)
{
    return { { "group", part.group.value() },
             { "restart", part.restart },
             { "snapshot", part.snapshot.value() },
             { "outcome", outcomeText(part.outcome) },
             { "reason", refusalCode(part.reason) },
             { "endpoint", part.endpoint.value() },
             { "hedges", part.hedges },
             { "retries", part.retries },
             { "queued-ms", fractionalMilliseconds(part.queued) },
             { "service-ms", fractionalMilliseconds(part.service) },
             { "queue-length", part.queueLength } };
}

}

OperatorInterface::OperatorInterface(OperatorInterfaceContext interfaceContext)
    : context(std::move(interfaceContext))
{
}

HttpResponse OperatorInterface::handle(const HttpRequest &request)
{
    if (request.target == "/log-level") {
        if (request.method != "POST") {
            return this->refuse(Refusal::MethodNotAllowed);
        }
        return this->context.setLogLevel(request.body) ? HttpResponse { 200, "application/json", "{}", {} }
                                                       : this->refuse(Refusal::BadRequest);
    }
    if (request.method != "GET") {
        return this->refuse(Refusal::MethodNotAllowed);
    }
    if (request.target == "/state") {
        return { 200, "application/json", this->context.state(), {} };
    }
    if (request.target == "/counters") {
        return { 200, "text/plain; version=0.0.4", this->context.counters.exposition(), {} };
    }
    if (request.target.rfind(requestsPrefix, 0) == 0) {
        return this->explain(request.target.substr(requestsPrefix.size()));
    }
    return this->refuse(Refusal::UnknownRoute);
}

HttpResponse OperatorInterface::refuse(Refusal refusal)
{
    HttpResponse response;
    response.status = refusalStatus(refusal, Execution::NotRun);
    response.body = json { { "error", { { "code", refusalCode(refusal) } } } }.dump();
    return response;
}

HttpResponse OperatorInterface::explain(const std::string &id)
{
    const auto trace = this->context.traces.find(RequestId(id));
    if (!trace) {
        return this->refuse(Refusal::UnknownRoute);
    }
    json parts = json::array();
    for (const PartTrace &part : trace->parts) {
        parts.push_back(partJson(part));
    }
    HttpResponse response;
    response.body = json {
        { "request-id", id },
        { "pool", trace->pool.value() },
        { "organisation", trace->organisation.value() },
        { "refusal", refusalCode(trace->refusal) },
        { "may-have-run", trace->execution != Execution::NotRun },
        { "snapshot", trace->snapshot.value() },
        { "shards-asked", trace->coverage.shardsAsked() },
        { "shards-answered", trace->coverage.shardsAnswered() },
        { "restarts", trace->restarts },
        { "total-ms", fractionalMilliseconds(trace->total) },
        { "parts", parts }
    }.dump();
    return response;
}

}
