#include "forwarding/endpointstats.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Weight of one observation in the moving means.
constexpr double slownessGain = 0.4;
constexpr double failureGain = 0.2;
constexpr double failureHalfLifeSeconds = 2;
/// An answer later than this many times the expected time is late; one earlier than the second figure is in time.
constexpr double lateRatio = 3;
constexpr double inTimeRatio = 1.6;
/// A request in flight for longer than this many times its expected time is stalled.
constexpr double stallRatio = 2.5;
/// Time to the first probe of a suspect endpoint, and the longest time between two.
constexpr Duration firstProbe = Milliseconds(60);
constexpr Duration longestProbe = Milliseconds(2000);
/// Other instances are told of slowness for this long after it was observed.
constexpr Duration tellingTime = Milliseconds(1000);
/// Late probes after which an endpoint is told to be slow; a moment's pause causes fewer.
constexpr int certainSuspicion = 3;
/// A report of load says little once the requests that it counted have ended.
constexpr double reportLifeSeconds = 0.15;
/// Failures in a row after which an endpoint is avoided, and for how long at first and at most.
constexpr int failuresBeforeAvoided = 2;
constexpr Duration firstAvoidance = Milliseconds(300);
constexpr Duration longestAvoidance = Milliseconds(3000);
constexpr double smallestRatio = 0.25;
constexpr double greatestRatio = 30;

double faded(double value, Duration age, double halfLifeSeconds)
{
    return value * std::exp2(-fractionalSeconds(age) / halfLifeSeconds);
}

}

EndpointStats::Token EndpointStats::requestStarted(TimePoint now, Duration expected)
{
    this->pending.push_back({ this->nextToken, now, expected });
    return this->nextToken++;
}

EndpointStats::Pending EndpointStats::finish(Token token, TimePoint now)
{
    const auto entry = std::find_if(
        this->pending.begin(), this->pending.end(), [token](const Pending &item) { return item.token == token; });
    if (entry == this->pending.end()) {
        return { token, now, Duration(1) };
    }
    const Pending found = *entry;
    this->pending.erase(entry);
    return found;
}

void EndpointStats::requestSucceeded(Token token, TimePoint now)
{
    const Pending request = this->finish(token, now);
    this->noteRatio(fractionalSeconds(now - request.start) / fractionalSeconds(request.expected), request, now);
    this->noteFailure(0, now);
    this->failuresInRow = 0;
}

void EndpointStats::requestRejected(Token token, TimePoint now)
{
    const Pending request = this->finish(token, now);
    this->noteRatio(lateRatio + 1, request, now);
}

void EndpointStats::requestFailed(Token token, TimePoint now)
{
    this->finish(token, now);
    this->noteFailure(1, now);
    ++this->failuresInRow;
    if (this->failuresInRow < failuresBeforeAvoided) {
        return;
    }
    const int doublings = std::min(this->failuresInRow - failuresBeforeAvoided, 5);
    this->avoidUntil = now + std::min(firstAvoidance * (1 << doublings), longestAvoidance);
}

void EndpointStats::requestCancelled(Token token, TimePoint now)
{
    const Pending request = this->finish(token, now);
    const double ratio = fractionalSeconds(now - request.start) / fractionalSeconds(request.expected);
    // The true time is longer than the time waited, so only a long wait says something.
    if (ratio > lateRatio) {
        this->noteRatio(ratio, request, now);
    }
}

void EndpointStats::updateLoad(const LoadReport &newReport, TimePoint now)
{
    this->report = newReport;
    this->ownAtReport = this->inFlight();
    this->reportAt = now;
}

void EndpointStats::applySlowReport(double slower, TimePoint observedAt, TimePoint probeAt)
{
    if (this->inTimeSince && *this->inTimeSince >= observedAt) {
        return;
    }
    if (this->suspicion == 0) {
        this->suspicion = 1;
        this->logSlowness = std::log(std::clamp(slower, lateRatio, greatestRatio));
        this->suspectSince = observedAt;
    }
    this->nextProbe = std::max(this->nextProbe, probeAt);
}

std::optional<double> EndpointStats::locallyObservedSlowness(TimePoint now) const
{
    const bool isRecent = this->suspicion >= certainSuspicion && this->lateAt && now - *this->lateAt < tellingTime;
    return isRecent ? std::optional(this->slowness()) : std::nullopt;
}

int EndpointStats::inFlight() const
{
    return static_cast<int>(this->pending.size());
}

double EndpointStats::estimatedRemoteInFlight(TimePoint now) const
{
    const int others = std::max(0, this->report.running + this->report.waiting - this->ownAtReport);
    const double age = fractionalSeconds(now - this->reportAt);
    const double life = reportLifeSeconds * this->slowness();
    return age >= life ? 0 : others * (1 - age / life);
}

double EndpointStats::slowness() const
{
    return this->suspicion > 0 ? std::max(1.0, std::exp(this->logSlowness)) : 1;
}

bool EndpointStats::isSuspect(TimePoint now) const
{
    return this->suspicion > 0 && (now < this->nextProbe || !this->pending.empty());
}

double EndpointStats::failureRatio(TimePoint now) const
{
    return faded(this->failures, now - this->failuresAt, failureHalfLifeSeconds);
}

Duration EndpointStats::stalledFor(TimePoint now) const
{
    if (this->pending.empty()) {
        return Duration::zero();
    }
    const Pending &oldest = this->pending.front();
    const Duration excess = now - oldest.start - std::chrono::duration_cast<Duration>(oldest.expected * stallRatio);
    return std::max(excess, Duration::zero());
}

bool EndpointStats::isEjected(TimePoint now) const
{
    return now < this->avoidUntil;
}

void EndpointStats::noteRatio(double ratio, const Pending &request, TimePoint now)
{
    const double logRatio = std::log(std::clamp(ratio, smallestRatio, greatestRatio));
    this->logSlowness
        = this->suspicion == 0 ? logRatio : this->logSlowness + slownessGain * (logRatio - this->logSlowness);
    const bool isNews = this->suspicion == 0 || request.start >= this->suspectSince;
    if (!isNews) {
        return;
    }
    if (ratio < inTimeRatio) {
        this->inTimeSince = request.start;
    }
    if (ratio > lateRatio) {
        this->lateAt = now;
        const int doublings = std::min(this->suspicion, 6);
        ++this->suspicion;
        this->suspectSince = now;
        this->nextProbe = now + std::min(firstProbe * (1 << doublings), longestProbe);
    } else if (ratio < inTimeRatio) {
        this->suspicion = 0;
    }
}

void EndpointStats::noteFailure(double failure, TimePoint now)
{
    const double current = this->failureRatio(now);
    this->failures = current + failureGain * (failure - current);
    this->failuresAt = now;
}

}
