#include "forwarding/routeexplanationjson.h"

#include <nlohmann/json.hpp>

namespace Lycheewall
{

namespace
{

using Json = nlohmann::ordered_json;

Json encodeTime(Duration duration)
{
    return duration == Duration::max() ? Json() : Json(fractionalMilliseconds(duration));
}

Json encodeTime(const std::optional<Duration> &duration)
{
    return duration ? encodeTime(*duration) : Json();
}

Json encodeReason(Refusal refusal)
{
    return refusal == Refusal::None ? Json() : Json(refusalCode(refusal));
}

Json encodeQuery(const RouteQuery &query)
{
    return { { "method", query.method },
             { "host", query.host },
             { "path", query.target },
             { "organisation", query.organisation ? Json(query.organisation->value()) : Json() },
             { "deadline-ms", encodeTime(query.deadline) } };
}

Json encodeRoute(const MatchedRoute &route)
{
    return { { "name", route.name },
             { "prefix", route.prefix },
             { "idempotent", route.idempotency == Idempotency::Idempotent },
             { "public", route.isPublic },
             { "priority", route.priority },
             { "max-attempts", route.maxAttempts },
             { "timeout-ms", encodeTime(route.timeout) },
             { "latency-objective-ms", encodeTime(route.latencyObjective) },
             { "shards", route.shards },
             { "required-shards", route.requiredShards } };
}

Json encodeAdmission(const AdmissionExplanation &admission)
{
    return { { "accepted", admission.refusal == Refusal::None },
             { "reason", encodeReason(admission.refusal) },
             { "min-retry-after-ms", encodeTime(admission.minRetryAfter) },
             { "max-retry-after-ms", encodeTime(admission.maxRetryAfter) },
             { "wait-ms", encodeTime(admission.wait) },
             { "probe", admission.isProbe } };
}

Json encodeQuota(const OrganisationQuotaState &quota)
{
    return { { "requests-per-second", quota.ratePerSecond },
             { "burst", quota.burst },
             { "available", quota.tokens },
             { "wait-ms", encodeTime(quota.waitTime) } };
}

Json encodeEndpoint(const EndpointExplanation &endpoint)
{
    return { { "endpoint", endpoint.endpoint.value() },
             { "zone", endpoint.zone.value() },
             { "verdict", endpointVerdictName(endpoint.verdict) },
             { "estimate-ms", encodeTime(endpoint.estimatedLatency) },
             { "cost-ms", endpoint.cost.total() },
             { "report-age-ms", encodeTime(endpoint.reportAge) },
             { "in-flight", endpoint.inFlight },
             { "others-in-flight", endpoint.othersInFlight },
             { "slots", endpoint.slots },
             { "cold", endpoint.isCold },
             { "connections", endpoint.connections.open },
             { "idle-connections", endpoint.connections.idle },
             { "waiting-for-connection", endpoint.connections.waitingRequests },
             { "throttle-wait-ms", encodeTime(endpoint.throttleWait) } };
}

Json encodeService(const ServiceExplanation &service)
{
    Json endpoints = Json::array();
    for (const EndpointExplanation &endpoint : service.endpoints) {
        endpoints.push_back(encodeEndpoint(endpoint));
    }
    Json verdicts = Json::object();
    for (const auto &[verdict, count] : service.verdictCounts) {
        verdicts[std::string(endpointVerdictName(verdict))] = count;
    }
    const RetryBudgetState &budget = service.retryBudget;
    return { { "service", service.service.value() },
             { "used", service.isUsed },
             { "skipped", encodeReason(service.skipped) },
             { "relayed", service.isRelayed },
             { "chosen", service.chosen ? Json(service.chosen->value()) : Json() },
             { "connection-limit", service.connectionLimit },
             { "retry-budget",
               { { "available", budget.extraAttempts },
                 { "capacity", budget.capacity },
                 { "waiting", budget.waitingRetries } } },
             { "verdicts", std::move(verdicts) },
             { "endpoints", std::move(endpoints) },
             { "endpoints-not-listed", service.unlistedEndpoints } };
}

Json encodeRelay(const RelayExplanation &relay)
{
    return { { "zone", relay.zone.value() }, { "instances", relay.instances }, { "shards", relay.shards } };
}

}

std::string encodeAsJson(const RouteExplanation &explanation)
{
    Json services = Json::array();
    for (const ServiceExplanation &service : explanation.services) {
        services.push_back(encodeService(service));
    }
    const Json document {
        { "instance", explanation.instance.value() },
        { "zone", explanation.zone.value() },
        { "table-version", explanation.tableVersion ? Json(*explanation.tableVersion) : Json() },
        { "feed-age-ms", encodeTime(explanation.feedAge) },
        { "request", encodeQuery(explanation.query) },
        { "route", explanation.route ? encodeRoute(*explanation.route) : Json() },
        { "admission", encodeAdmission(explanation.admission) },
        { "quota", explanation.quota ? encodeQuota(*explanation.quota) : Json() },
        { "relay", explanation.relay ? encodeRelay(*explanation.relay) : Json() },
        { "services", std::move(services) },
        { "services-not-listed", explanation.unlistedServices },
    };
    return document.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

}
