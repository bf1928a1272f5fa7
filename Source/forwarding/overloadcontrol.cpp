#include "forwarding/overloadcontrol.h"

#include "core/erasevaluesif.h"
#include "forwarding/endpointqueues.h"
#include "forwarding/forwardingcontext.h"
#include "forwarding/forwardingtimes.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// State about endpoints to which no request goes is dropped after this time.
constexpr Duration idleTime = std::chrono::seconds(30);
constexpr Duration cleanupInterval = std::chrono::seconds(10);
/// Requests that arrive within this time after the queues were counted use the same count.
constexpr Duration queueCountLifetime = Milliseconds(3);
/// Requests that are not expected to be served are sent at this interval, so that the expectation follows the
/// endpoints. Requests that find too long a queue are sent only if no other request was sent in this time.
constexpr Duration probeInterval = Milliseconds(200);
/// Work that is assumed without measurements: the latency objective divided by this.
constexpr int fallbackObjectiveDivisor = 8;
/// Rejected callers return after a random fraction of the time that they have left, so that they do not return together
/// and can still be served.
constexpr double minRetryFraction = 0.05;
constexpr double maxRetryFraction = 0.3;
constexpr Duration minRetryAfter = Milliseconds(100);

/// The service, or the first shard of the index, that stands for the endpoints of a request.
const ServiceId &endpointsKeyOf(const AdmittedRequest &request)
{
    return request.route->shards.empty() ? request.service : request.route->shards.front();
}

}

OverloadControl::OverloadControl(const EndpointSet &knownEndpoints, Random &randomNumbers)
    : endpoints(knownEndpoints)
    , random(randomNumbers)
{
}

std::optional<OverloadRejection> OverloadControl::decide(const AdmittedRequest &request, TimePoint now)
{
    if (!EndpointQueues::areReported(this->endpoints, endpointsKeyOf(request))) {
        return std::nullopt;
    }
    const Assessment assessment = this->assess(request, this->competingWith(request, now), now);
    if (assessment.reason == Refusal::None) {
        return std::nullopt;
    }
    const double fraction = minRetryFraction + (maxRetryFraction - minRetryFraction) * this->random.uniformReal();
    return OverloadRejection { assessment.reason, retryAfter(request, fraction, now), assessment.wait };
}

OverloadForecast OverloadControl::peek(const AdmittedRequest &request, TimePoint now) const
{
    if (!EndpointQueues::areReported(this->endpoints, endpointsKeyOf(request))) {
        return {};
    }
    const auto known = this->competingRequests.find(endpointsKeyOf(request));
    const bool isForgotten
        = known == this->competingRequests.end() || (now >= this->nextCleanupAt && isIdle(known->second, now));
    CompetingRequests competing = isForgotten ? CompetingRequests() : known->second;
    const Assessment assessment = this->assess(request, competing, now);
    OverloadForecast forecast;
    forecast.reason = assessment.reason;
    forecast.wait = assessment.wait;
    forecast.isProbe = assessment.isProbe;
    if (forecast.reason != Refusal::None) {
        forecast.minRetryAfter = retryAfter(request, minRetryFraction, now);
        forecast.maxRetryAfter = retryAfter(request, maxRetryFraction, now);
    }
    return forecast;
}

OverloadControl::Assessment
OverloadControl::assess(const AdmittedRequest &request, CompetingRequests &competing, TimePoint now) const
{
    const KindOfRequest kind = this->kindOf(request);
    competing.kinds.recordArrival(kind, now);
    Assessment result;
    const Refusal obstacle = this->findObstacle(request, competing, now);
    if (obstacle != Refusal::None) {
        result.isProbe = startProbe(competing, obstacle, now);
        if (!result.isProbe) {
            result.reason = obstacle;
            return result;
        }
    }
    result.wait = this->estimatedWait(request, competing, now);
    if (result.wait <= Duration::zero()) {
        delayProbe(competing, Refusal::QueueFull, now);
        return result;
    }
    competing.nextProbeAt.try_emplace(Refusal::QueueFull, now + probeInterval);
    const OrganisationSpec *organisation = request.organisationSpec();
    const bool hasRoom = result.wait <= competing.kinds.longestWait(kind, organisation, now)
        || competing.kinds.isBelowMinimum(kind, organisation);
    const bool isQueueProbe = !hasRoom && startProbe(competing, Refusal::QueueFull, now);
    const bool isSent = hasRoom || isQueueProbe;
    if (isSent) {
        delayProbe(competing, Refusal::QueueFull, now);
    }
    competing.kinds.recordDecision(kind, organisation, isSent, now);
    result.isProbe = isSent && (result.isProbe || isQueueProbe);
    result.reason = isSent ? Refusal::None : Refusal::QueueFull;
    return result;
}

bool OverloadControl::holdsBackHedge(const AdmittedRequest &request, TimePoint now)
{
    const ServiceId &key = endpointsKeyOf(request);
    const auto competing = this->competingRequests.find(key);
    if (competing == this->competingRequests.end() || !EndpointQueues::areReported(this->endpoints, key)) {
        return false;
    }
    return this->estimatedWait(request, competing->second, now) > Duration::zero()
        && competing->second.kinds.yieldsToOthers(this->kindOf(request), request.organisationSpec(), now);
}

bool OverloadControl::needsResults(const AdmittedRequest &request) const
{
    return this->endpoints.workFactorsOf(endpointsKeyOf(request)) != ServiceLoadModel::WorkFactors::NotReported;
}

void OverloadControl::recordLatency(const AdmittedRequest &request,
                                    const ServiceId &service,
                                    Duration latency,
                                    TimePoint now)
{
    this->forgetUnused(*request.table, now);
    // With a queue, the latency includes the time that the request has waited.
    if (latency > Duration::zero() && EndpointQueues::longest(this->endpoints, service, now) <= 0) {
        this->work[request.route->name].record(latency);
    }
}

void OverloadControl::recordShard(const AdmittedRequest &request, std::size_t shard, bool delivered, TimePoint now)
{
    // A shard with a queue rejects requests for lack of room, which ends when fewer are sent.
    const std::vector<ServiceId> &shards = request.route->shards;
    if (delivered || EndpointQueues::longest(this->endpoints, shards[shard], now) <= 0) {
        this->competingWith(request, now).delivery.record(shard, shards.size(), delivered);
    }
}

void OverloadControl::recordCoverage(const AdmittedRequest &request, std::size_t delivered, TimePoint now)
{
    this->competingWith(request, now).delivery.recordCoverage(delivered);
}

OverloadControl::CompetingRequests &OverloadControl::competingWith(const AdmittedRequest &request, TimePoint now)
{
    this->forgetUnused(*request.table, now);
    CompetingRequests &competing = this->competingRequests[endpointsKeyOf(request)];
    competing.lastRequestAt = now;
    return competing;
}

KindOfRequest OverloadControl::kindOf(const AdmittedRequest &request) const
{
    const Route &route = *request.route;
    Duration work = route.latencyObjective / fallbackObjectiveDivisor;
    const auto estimate = this->work.find(route.name);
    if (estimate != this->work.end()) {
        work = estimate->second.typical(work);
    }
    return { request.priority(), route.name, work, route.latencyObjective - callerRoundTrip - work };
}

bool OverloadControl::canMeetDeadline(const AdmittedRequest &request, TimePoint now) const
{
    const auto estimate = this->work.find(request.route->name);
    const Duration lowestWork = estimate == this->work.end() ? Duration::zero() : estimate->second.lowest();
    return now + lowestWork + deadlineMargin <= request.deadline;
}

Refusal
OverloadControl::findObstacle(const AdmittedRequest &request, const CompetingRequests &competing, TimePoint now) const
{
    if (!this->canMeetDeadline(request, now)) {
        return Refusal::DeadlineUnreachable;
    }
    const Route &route = *request.route;
    const bool canBeServed
        = route.shards.empty() || competing.delivery.canReach(route.requiredShards(), route.shards.size());
    return canBeServed ? Refusal::None : Refusal::EndpointShed;
}

bool OverloadControl::startProbe(CompetingRequests &competing, Refusal reason, TimePoint now)
{
    if (now < competing.nextProbeAt[reason]) {
        return false;
    }
    delayProbe(competing, reason, now);
    return true;
}

void OverloadControl::delayProbe(CompetingRequests &competing, Refusal reason, TimePoint now)
{
    competing.nextProbeAt[reason] = now + probeInterval;
}

Duration
OverloadControl::estimatedWait(const AdmittedRequest &request, CompetingRequests &competing, TimePoint now) const
{
    if (!competing.countedAt || now - *competing.countedAt > queueCountLifetime) {
        const std::vector<ServiceId> &shards = request.route->shards;
        competing.queuePerSlot = shards.empty() ? EndpointQueues::median(this->endpoints, request.service, now)
                                                : EndpointQueues::medianOfShards(this->endpoints, shards, now);
        competing.countedAt = now;
    }
    return competing.queuePerSlot <= 0
        ? Duration::zero()
        : fromSeconds(competing.queuePerSlot * fractionalSeconds(competing.kinds.meanWork(now)));
}

Duration OverloadControl::retryAfter(const AdmittedRequest &request, double fraction, TimePoint now)
{
    const double remaining = std::max(0.0, fractionalSeconds(request.deadline - now));
    return std::max(minRetryAfter, fromSeconds(remaining * fraction));
}

bool OverloadControl::isIdle(const CompetingRequests &competing, TimePoint now)
{
    return now - competing.lastRequestAt > idleTime;
}

void OverloadControl::forgetUnused(const RouteTable &table, TimePoint now)
{
    if (now < this->nextCleanupAt) {
        return;
    }
    this->nextCleanupAt = now + cleanupInterval;
    eraseValuesIf(this->competingRequests,
                  [now](const CompetingRequests &competing) { return isIdle(competing, now); });
    std::map<std::string, WorkEstimate> workOfRoutes;
    for (const Route &route : table.routes()) {
        const auto estimate = this->work.find(route.name);
        if (estimate != this->work.end()) {
            workOfRoutes.insert(*estimate);
        }
    }
    this->work = std::move(workOfRoutes);
}

}
