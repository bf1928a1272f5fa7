#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace Lycheewall
{

/// What an endpoint reports of its own load with an answer.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/**
 * What this daemon has observed of one endpoint: requests in flight, slowness, failures and reported load.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointStats
{
public:
    /// Identifies a request in flight.
    using Token = std::uint64_t;

    Token started(TimePoint now);

    /// The endpoint answered. @p expected is the usual time of such a request; precondition: expected > 0.
    void answered(Token token, TimePoint now, Duration expected);

    /// The endpoint refused the request without running it.
    void refused(Token token, TimePoint now);

    /// No usable answer: a failure, a reset, a failed connection.
    void failed(Token token, TimePoint now);

    /// The request was given up here; its answer will not be seen.
    void abandoned(Token token, TimePoint now, Duration expected);

    void reported(const LoadReport &report, TimePoint now);

    int inFlight() const;

    /// Requests of other callers by the latest report, fading as the report ages.
    double othersInFlight(TimePoint now) const;

    /// Usual latency relative to what is expected of the service: 1 is normal, above 1 slow.
    double slowness(TimePoint now) const;

    /// Share of recent requests that failed, 0 to 1, fading with time.
    double failureRatio(TimePoint now) const;

    /// Time since the start of the oldest request in flight; zero when there is none.
    Duration oldestAge(TimePoint now) const;

    /// True while requests should go elsewhere after failures in a row.
    bool isAvoided(TimePoint now) const;

private:
    struct Pending
    {
        Token token;
        TimePoint start;
    };

    TimePoint finish(Token token, TimePoint now);
    void noteRatio(double ratio, TimePoint now);
    void noteFailure(double failure, TimePoint now);

    std::vector<Pending> pending;
    Token nextToken = 1;
    double logSlowness = 0;
    TimePoint slownessAt;
    double failures = 0;
    TimePoint failuresAt;
    int failuresInRow = 0;
    TimePoint avoidUntil;
    LoadReport report;
    int ownAtReport = 0;
    TimePoint reportAt;
};

}
