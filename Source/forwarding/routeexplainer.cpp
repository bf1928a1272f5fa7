#include "forwarding/routeexplainer.h"

#include "forwarding/refusalreply.h"
#include "forwarding/serviceexplainer.h"

#include <algorithm>
#include <functional>
#include <set>

namespace Lycheewall
{

namespace
{

/// The deadline of a query that names none; the timeouts of routes are shorter.
constexpr Duration defaultDeadline = std::chrono::hours(24);

CallerRequestPtr makeRequest(const RouteQuery &query, TimePoint now)
{
    const auto request = std::make_shared<CallerRequest>();
    request->method = query.method;
    request->host = query.host;
    request->target = query.target;
    request->arrivedAt = now;
    request->deadline = now + std::min(query.deadline.value_or(defaultDeadline), defaultDeadline);
    return request;
}

/// Sets the refusal unless an earlier check has refused the request. The caller may return after @p minRetryAfter to
/// @p maxRetryAfter.
void refuse(RouteExplanation &explanation,
            Refusal reason,
            std::optional<Duration> minRetryAfter,
            std::optional<Duration> maxRetryAfter)
{
    AdmissionExplanation &admission = explanation.admission;
    if (admission.refusal == Refusal::None) {
        admission.refusal = reason;
        admission.minRetryAfter = minRetryAfter;
        admission.maxRetryAfter = maxRetryAfter;
    }
}

void refuse(RouteExplanation &explanation, const ForwardReply &reply)
{
    refuse(explanation, reply.refusal(), reply.retryAfter(), reply.retryAfter());
}

void refuseThrottled(RouteExplanation &explanation, Duration wait)
{
    refuse(explanation, Refusal::EndpointThrottled, wait, longestSpreadRetryAfter(wait));
}

void refuseUnavailable(RouteExplanation &explanation)
{
    ServiceResult result;
    result.reason = Refusal::EndpointUnavailable;
    refuse(explanation, makeRefusalReply(result));
}

MatchedRoute describeRoute(const AdmittedRequest &request)
{
    const Route &route = *request.route;
    MatchedRoute description;
    description.name = route.name;
    description.prefix = route.prefix;
    description.idempotency = route.idempotency;
    description.timeout = route.timeout;
    description.latencyObjective = route.latencyObjective;
    description.maxAttempts = route.maxAttempts;
    description.priority = request.priority();
    description.isPublic = route.isPublic;
    description.shards = route.shards.size();
    description.requiredShards = route.shards.empty() ? 0 : route.requiredShards();
    return description;
}

/// Number of endpoints that are listed for each of @p serviceCount services.
std::size_t endpointsPerService(std::size_t serviceCount)
{
    return maxListedEndpoints / std::clamp(serviceCount, std::size_t { 1 }, maxListedServices);
}

/// How a shard takes part in a query when the query starts.
struct ShardStart
{
    ServiceId service;
    Refusal skipped = Refusal::None;
    bool isRelayed = false;
    bool hasUsableEndpoint = false;

    bool isSent() const
    {
        return this->skipped == Refusal::None && (this->isRelayed || this->hasUsableEndpoint);
    }
};

/// The shards in the order of the route.
std::vector<ShardStart> findShardStarts(const ForwardingContext &context,
                                        const AdmittedRequest &request,
                                        const SkippedShards &skipped,
                                        const std::set<ServiceId> &relayed)
{
    std::vector<ShardStart> starts;
    for (const ServiceId &service : request.route->shards) {
        ShardStart start;
        const auto skippedShard = skipped.find(starts.size());
        start.service = service;
        start.skipped = skippedShard == skipped.end() ? Refusal::None : skippedShard->second;
        start.isRelayed = relayed.count(service) > 0;
        start.hasUsableEndpoint = hasUsableEndpoint(context, request, service);
        starts.push_back(std::move(start));
    }
    return starts;
}

/// The refusal of a query that cannot reach its required coverage. FanoutExchange starts the shards in order and ends
/// the query at the one with which too many have failed. The outcome is unknown if an earlier shard has been sent by
/// then, by a relay or over an idle connection.
std::optional<ForwardReply> refusalForCoverage(const Route &route,
                                               const std::vector<ShardStart> &starts,
                                               const std::function<bool(const ServiceId &)> &hasIdleConnection)
{
    const std::size_t omittable = starts.size() - std::min(route.requiredShards(), starts.size());
    std::size_t failed = 0;
    const auto last = std::find_if(starts.begin(), starts.end(), [&](const ShardStart &start) {
        failed += start.isSent() ? 0 : 1;
        return failed > omittable;
    });
    if (last == starts.end()) {
        return std::nullopt;
    }
    ServiceResult result;
    result.reason = last->skipped == Refusal::None ? Refusal::EndpointUnavailable : last->skipped;
    const bool isAnyRelayed
        = std::any_of(starts.begin(), starts.end(), [](const ShardStart &start) { return start.isRelayed; });
    const bool isAnySent = isAnyRelayed || std::any_of(starts.begin(), last, [&](const ShardStart &start) {
                               return start.isSent() && hasIdleConnection(start.service);
                           });
    result.execution = isAnySent ? Execution::Unknown : Execution::NotRun;
    return makeRefusalReply(result);
}

}

RouteExplainer::RouteExplainer(const Context &explainerContext, ExplainingInstance explainingInstance)
    : context(explainerContext)
    , instance(std::move(explainingInstance))
{
}

RouteExplanation RouteExplainer::explain(const RouteQuery &query) const
{
    const Forwarder &forwarder = this->context.forwarder;
    RouteExplanation explanation;
    explanation.query = query;
    explanation.query.host = normalizedHost(query.host);
    explanation.instance = this->instance.id;
    explanation.zone = this->instance.zone;
    explanation.feedAge = this->context.freshness.age();
    if (forwarder.table()) {
        explanation.tableVersion = forwarder.table()->version();
    }
    const auto matched = forwarder.matchRoute(makeRequest(explanation.query, this->context.forwarding.clock.now()));
    if (!matched) {
        refuse(explanation, matched.error());
        return explanation;
    }
    AdmittedRequest request = matched.value();
    if (const auto refusal = forwarder.checkTime(request)) {
        refuse(explanation, *refusal);
    }
    const auto organisation = forwarder.checkOrganisation(*request.route, query.organisation);
    if (organisation) {
        request.organisation = organisation.value();
        explanation.quota = this->context.forwarding.quota.state(request.organisation);
    } else {
        refuse(explanation, organisation.error());
    }
    if (explanation.quota && explanation.quota->waitTime > Duration::zero()) {
        refuse(explanation, Refusal::RateExceeded, explanation.quota->waitTime, explanation.quota->waitTime);
    }
    explanation.route = describeRoute(request);
    if (request.route->shards.empty()) {
        this->explainServices(request, explanation);
    } else {
        this->explainShards(request, explanation);
    }
    return explanation;
}

void RouteExplainer::explainOverload(const AdmittedRequest &request, RouteExplanation &explanation) const
{
    const ForwardingContext &forwarding = this->context.forwarding;
    const OverloadForecast forecast = forwarding.overloadControl.peek(request, forwarding.clock.now());
    explanation.admission.wait = forecast.wait;
    explanation.admission.isProbe = forecast.isProbe && explanation.admission.refusal == Refusal::None;
    if (forecast.reason != Refusal::None) {
        refuse(explanation, forecast.reason, forecast.minRetryAfter, forecast.maxRetryAfter);
    }
}

void RouteExplainer::explainServices(AdmittedRequest &request, RouteExplanation &explanation) const
{
    const ForwardingContext &forwarding = this->context.forwarding;
    const TimePoint now = forwarding.clock.now();
    request.service = forwarding.serviceBalancer.peekNextService(*request.route);
    this->explainOverload(request, explanation);
    const ServiceThrottling throttling = forwarding.chooser.throttling(request.service, now);
    if (throttling.isThrottled) {
        const ThrottledDecision decision = forwarding.throttledAdmission.peek(request, { { 0, throttling } }, 0, now);
        if (decision.waitTime) {
            refuseThrottled(explanation, *decision.waitTime);
        }
    }
    std::vector<WeightedService> services = request.route->services;
    std::stable_partition(services.begin(), services.end(), [&request](const WeightedService &weighted) {
        return weighted.service == request.service;
    });
    const std::size_t listed = std::min(services.size(), maxListedServices);
    explanation.unlistedServices = services.size() - listed;
    for (std::size_t index = 0; index < listed; ++index) {
        explanation.services.push_back(explainService(forwarding,
                                                      this->context.connections,
                                                      request,
                                                      services[index].service,
                                                      endpointsPerService(services.size())));
        explanation.services.back().isUsed = index == 0;
    }
    if (!explanation.services.front().chosen) {
        refuseUnavailable(explanation);
    }
}

void RouteExplainer::explainShards(const AdmittedRequest &request, RouteExplanation &explanation) const
{
    const ForwardingContext &forwarding = this->context.forwarding;
    this->explainOverload(request, explanation);
    const ShardSelection selection = peekShards(forwarding, request);
    if (selection.retryAfter) {
        refuseThrottled(explanation, *selection.retryAfter);
    }
    const std::vector<ServiceId> relayable = relayableShards(forwarding, request, selection.skipped);
    const auto relayZone = relayable.empty() ? std::nullopt : forwarding.relay->findZone(relayable);
    std::set<ServiceId> relayed;
    if (relayZone) {
        relayed.insert(relayZone->services.begin(), relayZone->services.end());
        explanation.relay = RelayExplanation { relayZone->zone, relayZone->instances, relayZone->services.size() };
    }
    std::vector<ShardStart> starts = findShardStarts(forwarding, request, selection.skipped, relayed);
    const auto refusal = refusalForCoverage(*request.route, starts, [&](const ServiceId &service) {
        const auto endpoint = likeliestEndpoint(forwarding, request, service);
        return endpoint && this->context.connections.usageOf(*endpoint).idle > 0;
    });
    if (refusal) {
        refuse(explanation, *refusal);
    }
    std::stable_partition(starts.begin(), starts.end(), [](const ShardStart &start) { return !start.isSent(); });
    const std::size_t listed = std::min(starts.size(), maxListedServices);
    explanation.unlistedServices = starts.size() - listed;
    for (std::size_t index = 0; index < listed; ++index) {
        ServiceExplanation service = explainService(
            forwarding, this->context.connections, request, starts[index].service, endpointsPerService(starts.size()));
        service.skipped = starts[index].skipped;
        service.isRelayed = starts[index].isRelayed;
        explanation.services.push_back(std::move(service));
    }
}

}
