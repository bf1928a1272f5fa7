#include "forwarding/serviceexplainer.h"

#include "forwarding/retrypolicy.h"
#include "forwarding/servicecall.h"

#include <algorithm>
#include <array>

namespace Lycheewall
{

namespace
{

/// The verdict on an endpoint that cannot be selected. Precondition: @p exclusion is not None.
EndpointVerdict exclusionVerdict(EndpointExclusion exclusion)
{
    switch (exclusion) {
    case EndpointExclusion::None:
        break;
    case EndpointExclusion::Removed:
        return EndpointVerdict::Removed;
    case EndpointExclusion::Draining:
        return EndpointVerdict::Draining;
    case EndpointExclusion::Leaving:
        return EndpointVerdict::Leaving;
    case EndpointExclusion::ZoneEvacuated:
        return EndpointVerdict::ZoneEvacuated;
    case EndpointExclusion::Backoff:
        return EndpointVerdict::Backoff;
    case EndpointExclusion::RateLimit:
        return EndpointVerdict::RateLimit;
    case EndpointExclusion::AlreadyTried:
        return EndpointVerdict::AlreadyTried;
    case EndpointExclusion::LowFillLevel:
        return EndpointVerdict::LowFillLevel;
    }
    return EndpointVerdict::Removed;
}

/// An endpoint of the service, and whether and at which cost it can be selected.
struct Candidate
{
    EndpointPtr endpoint;
    EndpointExclusion exclusion = EndpointExclusion::None;
    EndpointCost cost;

    bool canBeChosen() const
    {
        return this->exclusion == EndpointExclusion::None;
    }
};

/// Candidates that can be selected come first, those of lower cost before others.
bool isLikelier(const Candidate &left, const Candidate &right)
{
    if (left.canBeChosen() != right.canBeChosen()) {
        return left.canBeChosen();
    }
    return left.cost.total() < right.cost.total();
}

/// What makes most of the latency that @p candidate is expected to have in excess of @p chosen.
EndpointVerdict slownessVerdict(const Candidate &candidate, const Candidate &chosen, TimePoint now)
{
    if (candidate.endpoint->stats.isSuspect(now)) {
        return EndpointVerdict::Suspect;
    }
    const bool isColder = now < candidate.endpoint->coldUntil && now >= chosen.endpoint->coldUntil;
    return isColder ? EndpointVerdict::Cold : EndpointVerdict::SlowerEstimate;
}

/// The verdict on @p candidate, which can be selected but costs more than @p chosen.
EndpointVerdict costlierVerdict(const Candidate &candidate, const Candidate &chosen, TimePoint now)
{
    struct Excess
    {
        EndpointVerdict verdict;
        double cost;
    };
    const EndpointCost &cost = candidate.cost;
    const EndpointCost &lowest = chosen.cost;
    const std::array<Excess, 6> excesses { {
        { EndpointVerdict::Ejected, cost.ejection - lowest.ejection },
        { EndpointVerdict::RecentFailures, cost.failures - lowest.failures },
        { EndpointVerdict::Stalled, cost.stall - lowest.stall },
        { EndpointVerdict::OtherZone, cost.otherZone - lowest.otherZone },
        { EndpointVerdict::Busier, cost.load - lowest.load },
        { slownessVerdict(candidate, chosen, now), cost.latency - lowest.latency },
    } };
    return std::max_element(excesses.begin(),
                            excesses.end(),
                            [](const Excess &left, const Excess &right) { return left.cost < right.cost; })
        ->verdict;
}

EndpointVerdict verdictOf(const Candidate &candidate, const Candidate &likeliest, TimePoint now)
{
    if (!candidate.canBeChosen()) {
        return exclusionVerdict(candidate.exclusion);
    }
    if (candidate.endpoint == likeliest.endpoint) {
        return EndpointVerdict::Chosen;
    }
    if (candidate.cost.total() - likeliest.cost.total() < EndpointChooser::tieBreakJitterMs) {
        return EndpointVerdict::EquallyGood;
    }
    return costlierVerdict(candidate, likeliest, now);
}

EndpointCriteria
firstAttemptCriteria(const ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service)
{
    return { service, typicalAttemptLatency(context, *request.route), {}, 0 };
}

/// All endpoints of the service, the likeliest first.
std::vector<Candidate> findCandidates(const ForwardingContext &context, const EndpointCriteria &criteria, TimePoint now)
{
    std::vector<Candidate> candidates;
    for (const EndpointPtr &endpoint : context.endpoints.endpointsOf(criteria.service)) {
        candidates.push_back({ endpoint,
                               context.chooser.exclusion(*endpoint, criteria, now),
                               context.chooser.cost(*endpoint, criteria, now) });
    }
    std::stable_sort(candidates.begin(), candidates.end(), &isLikelier);
    return candidates;
}

EndpointExplanation describeEndpoint(const Candidate &candidate, double rateLimitShare, TimePoint now)
{
    const ServiceEndpoint &endpoint = *candidate.endpoint;
    EndpointExplanation explanation;
    explanation.endpoint = endpoint.record.id;
    explanation.zone = endpoint.record.zone;
    explanation.cost = candidate.cost;
    explanation.estimatedLatency = fromMilliseconds(candidate.cost.latency);
    explanation.reportAge = endpoint.stats.loadReportAge(now);
    explanation.inFlight = endpoint.stats.inFlight();
    explanation.othersInFlight = endpoint.stats.estimatedRemoteInFlight(now);
    explanation.slots = endpoint.record.slots;
    explanation.isCold = now < endpoint.coldUntil;
    explanation.throttleWait = endpoint.throttleWaitTime(rateLimitShare, now);
    return explanation;
}

}

ServiceExplanation explainService(const ForwardingContext &context,
                                  const ConnectionUsageSource &connections,
                                  const AdmittedRequest &request,
                                  const ServiceId &service,
                                  std::size_t maxEndpoints)
{
    const TimePoint now = context.clock.now();
    const EndpointCriteria criteria = firstAttemptCriteria(context, request, service);
    const std::vector<Candidate> candidates = findCandidates(context, criteria, now);
    ServiceExplanation explanation;
    explanation.service = service;
    explanation.connectionLimit = ServiceCall::connectionLimit(context, *request.table, service);
    explanation.retryBudget = context.retryBudget.state(service);
    for (const Candidate &candidate : candidates) {
        const EndpointVerdict verdict = verdictOf(candidate, candidates.front(), now);
        ++explanation.verdictCounts[verdict];
        if (verdict == EndpointVerdict::Chosen) {
            explanation.chosen = candidate.endpoint->record.id;
        }
        if (explanation.endpoints.size() >= maxEndpoints) {
            ++explanation.unlistedEndpoints;
            continue;
        }
        EndpointExplanation endpoint = describeEndpoint(candidate, context.endpoints.rateLimitShare(), now);
        endpoint.verdict = verdict;
        endpoint.connections = connections.usageOf(endpoint.endpoint);
        explanation.endpoints.push_back(std::move(endpoint));
    }
    return explanation;
}

std::optional<EndpointId>
likeliestEndpoint(const ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service)
{
    const std::vector<Candidate> candidates
        = findCandidates(context, firstAttemptCriteria(context, request, service), context.clock.now());
    const bool isAnyUsable = !candidates.empty() && candidates.front().canBeChosen();
    return isAnyUsable ? std::optional(candidates.front().endpoint->record.id) : std::nullopt;
}

bool hasUsableEndpoint(const ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service)
{
    const TimePoint now = context.clock.now();
    const EndpointCriteria criteria = firstAttemptCriteria(context, request, service);
    const std::vector<EndpointPtr> &endpoints = context.endpoints.endpointsOf(service);
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointPtr &endpoint) {
        return context.chooser.exclusion(*endpoint, criteria, now) == EndpointExclusion::None;
    });
}

}
