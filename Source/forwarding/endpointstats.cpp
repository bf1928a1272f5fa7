#include "forwarding/endpointstats.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Weight of one observation in the moving averages.
constexpr double slownessGain = 0.4;
constexpr double failureGain = 0.2;
constexpr double failureHalfLifeSeconds = 2;
/// A response is late above the first multiple of its expected latency, and on time below the second.
constexpr double lateRatio = 3;
constexpr double onTimeRatio = 1.6;
/// A request that is in flight for longer than this multiple of its expected latency is stalled.
constexpr double stallRatio = 2.5;
/// Interval to the first probe of a suspect endpoint, and the longest interval between two probes.
constexpr Duration minProbeInterval = Milliseconds(60);
constexpr Duration maxProbeInterval = Milliseconds(2000);
/// Slowness is reported to other instances for this long after it was observed.
constexpr Duration slowReportPeriod = Milliseconds(1000);
/// Suspicion level from which an endpoint is reported as slow; a brief pause causes fewer late events.
constexpr int minReportedSuspicion = 3;
/// Consecutive failures that eject an endpoint, and the first and the longest ejection time.
constexpr int failuresBeforeEjection = 2;
constexpr Duration minEjectionTime = Milliseconds(300);
constexpr Duration maxEjectionTime = Milliseconds(3000);
constexpr double minLatencyRatio = 0.25;
constexpr double maxLatencyRatio = 30;

double decayed(double value, Duration age, double halfLifeSeconds)
{
    return value * std::exp2(-fractionalSeconds(age) / halfLifeSeconds);
}

}

void EndpointStats::setLateListener(std::function<void()> listener)
{
    this->lateListener = std::move(listener);
}

void EndpointStats::setLoadModel(std::shared_ptr<EndpointLoadModel> model,
                                 std::shared_ptr<ServiceLoadModel> serviceModel)
{
    this->load.setModel(std::move(model), std::move(serviceModel));
}

EndpointStats::Token EndpointStats::requestStarted(TimePoint now, Duration expected)
{
    this->pending.push_back({ this->nextToken, now, this->load.predict(now, expected) });
    return this->nextToken++;
}

EndpointStats::Pending EndpointStats::removePending(Token token, TimePoint now)
{
    const auto entry = std::find_if(
        this->pending.begin(), this->pending.end(), [token](const Pending &item) { return item.token == token; });
    if (entry == this->pending.end()) {
        return { token, now, { now, Duration(1) } };
    }
    const Pending request = *entry;
    this->pending.erase(entry);
    return request;
}

double EndpointStats::latencyRatio(const Pending &request, TimePoint now) const
{
    return fractionalSeconds(now - request.start)
        / fractionalSeconds(this->load.toleratedLatency(request.prediction, now));
}

void EndpointStats::requestSucceeded(Token token, TimePoint now)
{
    const Pending request = this->removePending(token, now);
    this->load.recordResponse(request.prediction, now);
    this->recordLatencyRatio(this->latencyRatio(request, now), request, now);
    this->recordFailureSample(0, now);
    this->consecutiveFailures = 0;
}

void EndpointStats::requestRejected(Token token, TimePoint now)
{
    const Pending request = this->removePending(token, now);
    this->recordLatencyRatio(lateRatio + 1, request, now);
}

void EndpointStats::requestFailed(Token token, TimePoint now)
{
    this->removePending(token, now);
    this->recordFailureSample(1, now);
    ++this->consecutiveFailures;
    if (this->consecutiveFailures < failuresBeforeEjection) {
        return;
    }
    const int doublings = std::min(this->consecutiveFailures - failuresBeforeEjection, 5);
    this->ejectedUntil = now + std::min(minEjectionTime * (1 << doublings), maxEjectionTime);
}

void EndpointStats::requestCancelled(Token token, TimePoint now)
{
    const Pending request = this->removePending(token, now);
    const double ratio = this->latencyRatio(request, now);
    // The real latency is longer than the time waited, so only a long wait is evidence.
    if (ratio > lateRatio) {
        this->recordLatencyRatio(ratio, request, now);
    }
}

void EndpointStats::updateLoad(const LoadReport &report, TimePoint now)
{
    this->load.update(report, this->inFlight(), now);
}

void EndpointStats::applySlowReport(double reportedSlowness, TimePoint observedAt, TimePoint probeAt)
{
    if (this->lastOnTimeStart && *this->lastOnTimeStart >= observedAt) {
        return;
    }
    if (this->suspicionLevel == 0) {
        this->suspicionLevel = 1;
        this->logSlowness = std::log(std::clamp(reportedSlowness, lateRatio, maxLatencyRatio));
        this->suspectSince = observedAt;
    }
    this->nextProbeAt = std::max(this->nextProbeAt, probeAt);
}

std::optional<double> EndpointStats::locallyObservedSlowness(TimePoint now) const
{
    const bool isRecent = this->suspicionLevel >= minReportedSuspicion && this->lastLateAt
        && now - *this->lastLateAt < slowReportPeriod;
    return isRecent ? std::optional(this->slowness()) : std::nullopt;
}

int EndpointStats::inFlight() const
{
    return static_cast<int>(this->pending.size());
}

double EndpointStats::estimatedRemoteInFlight(TimePoint now) const
{
    return this->load.remoteInFlight(now, this->slowness());
}

std::optional<Duration> EndpointStats::loadReportAge(TimePoint now) const
{
    return this->load.reportAge(now);
}

double EndpointStats::workFactor(TimePoint now) const
{
    return this->load.workFactor(now);
}

bool EndpointStats::reportsWorkFactor() const
{
    return this->load.reportsWorkFactor();
}

double EndpointStats::slowness() const
{
    return this->suspicionLevel > 0 ? std::max(1.0, std::exp(this->logSlowness)) : 1;
}

bool EndpointStats::isSuspect(TimePoint now) const
{
    return this->suspicionLevel > 0 && (now < this->nextProbeAt || !this->pending.empty());
}

double EndpointStats::failureRatio(TimePoint now) const
{
    return decayed(this->failureMean, now - this->failureMeanAt, failureHalfLifeSeconds);
}

Duration EndpointStats::stalledFor(TimePoint now) const
{
    if (this->pending.empty()) {
        return Duration::zero();
    }
    const Pending &oldest = this->pending.front();
    const Duration tolerated = this->load.toleratedLatency(oldest.prediction, now);
    const Duration excess = now - oldest.start - std::chrono::duration_cast<Duration>(tolerated * stallRatio);
    return std::max(excess, Duration::zero());
}

bool EndpointStats::isEjected(TimePoint now) const
{
    return now < this->ejectedUntil;
}

void EndpointStats::recordLatencyRatio(double ratio, const Pending &request, TimePoint now)
{
    const double logRatio = std::log(std::clamp(ratio, minLatencyRatio, maxLatencyRatio));
    this->logSlowness
        = this->suspicionLevel == 0 ? logRatio : this->logSlowness + slownessGain * (logRatio - this->logSlowness);
    const bool isNewEvidence = this->suspicionLevel == 0 || request.start >= this->suspectSince;
    if (!isNewEvidence) {
        return;
    }
    if (ratio < onTimeRatio) {
        this->lastOnTimeStart = request.start;
    }
    if (ratio > lateRatio) {
        this->lastLateAt = now;
        const int doublings = std::min(this->suspicionLevel, 6);
        ++this->suspicionLevel;
        this->suspectSince = now;
        this->nextProbeAt = now + std::min(minProbeInterval * (1 << doublings), maxProbeInterval);
        if (this->lateListener && this->suspicionLevel >= minReportedSuspicion) {
            this->lateListener();
        }
    } else if (ratio < onTimeRatio) {
        this->suspicionLevel = 0;
    }
}

void EndpointStats::recordFailureSample(double failure, TimePoint now)
{
    const double currentMean = this->failureRatio(now);
    this->failureMean = currentMean + failureGain * (failure - currentMean);
    this->failureMeanAt = now;
}

}
