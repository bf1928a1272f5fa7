#include "forwarding/endpointstats.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Weight of one observation in the moving means.
constexpr double slownessGain = 0.3;
constexpr double failureGain = 0.2;
/// A slow endpoint is tried again as its mean fades, so that its recovery is noticed.
constexpr double slownessHalfLifeSeconds = 3;
constexpr double failureHalfLifeSeconds = 2;
/// A report of load says little once the requests that it counted have ended.
constexpr double reportLifeSeconds = 0.15;
/// Failures in a row after which an endpoint is avoided, and for how long at first and at most.
constexpr int failuresBeforeAvoided = 2;
constexpr Duration firstAvoidance = Milliseconds(300);
constexpr Duration longestAvoidance = Milliseconds(3000);
constexpr double smallestRatio = 0.25;
constexpr double greatestRatio = 30;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double faded(double value, Duration age, double halfLifeSeconds)
{
    return value * std::exp2(-seconds(age) / halfLifeSeconds);
}

}

EndpointStats::Token EndpointStats::started(TimePoint now)
{
    this->pending.push_back({ this->nextToken, now });
    return this->nextToken++;
}

TimePoint EndpointStats::finish(Token token, TimePoint now)
{
    const auto entry = std::find_if(
        this->pending.begin(), this->pending.end(), [token](const Pending &item) { return item.token == token; });
    if (entry == this->pending.end()) {
        return now;
    }
    const TimePoint start = entry->start;
    this->pending.erase(entry);
    return start;
}

void EndpointStats::answered(Token token, TimePoint now, Duration expected)
{
    const TimePoint start = this->finish(token, now);
    this->noteRatio(seconds(now - start) / seconds(expected), now);
    this->noteFailure(0, now);
    this->failuresInRow = 0;
}

void EndpointStats::refused(Token token, TimePoint now)
{
    this->finish(token, now);
    this->noteRatio(2, now);
}

void EndpointStats::failed(Token token, TimePoint now)
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

void EndpointStats::abandoned(Token token, TimePoint now, Duration expected)
{
    const TimePoint start = this->finish(token, now);
    // The true latency is longer than the time waited, so only a long wait says something.
    if (now - start > expected) {
        this->noteRatio(seconds(now - start) / seconds(expected), now);
    }
}

void EndpointStats::reported(const LoadReport &newReport, TimePoint now)
{
    this->report = newReport;
    this->ownAtReport = this->inFlight();
    this->reportAt = now;
}

int EndpointStats::inFlight() const
{
    return static_cast<int>(this->pending.size());
}

double EndpointStats::othersInFlight(TimePoint now) const
{
    const double age = seconds(now - this->reportAt);
    if (age >= reportLifeSeconds) {
        return 0;
    }
    const int others = std::max(0, this->report.running + this->report.waiting - this->ownAtReport);
    return others * (1 - age / reportLifeSeconds);
}

double EndpointStats::slowness(TimePoint now) const
{
    return std::exp(faded(this->logSlowness, now - this->slownessAt, slownessHalfLifeSeconds));
}

double EndpointStats::failureRatio(TimePoint now) const
{
    return faded(this->failures, now - this->failuresAt, failureHalfLifeSeconds);
}

Duration EndpointStats::oldestAge(TimePoint now) const
{
    return this->pending.empty() ? Duration::zero() : now - this->pending.front().start;
}

bool EndpointStats::isAvoided(TimePoint now) const
{
    return now < this->avoidUntil;
}

void EndpointStats::noteRatio(double ratio, TimePoint now)
{
    const double bounded = std::log(std::clamp(ratio, smallestRatio, greatestRatio));
    const double current = faded(this->logSlowness, now - this->slownessAt, slownessHalfLifeSeconds);
    this->logSlowness = current + slownessGain * (bounded - current);
    this->slownessAt = now;
}

void EndpointStats::noteFailure(double failure, TimePoint now)
{
    const double current = this->failureRatio(now);
    this->failures = current + failureGain * (failure - current);
    this->failuresAt = now;
}

}
