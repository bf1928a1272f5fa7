#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
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
 *
 * An endpoint that answers much later than expected becomes suspect. One late event says little, because endpoints
 * pause for a moment, so a suspect endpoint is soon tried again with a single request (probe). Each probe that is late
 * as well doubles the time to the next one; one in time clears the suspicion.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointStats
{
public:
    /// Identifies a request in flight.
    using Token = std::uint64_t;

    /// @p expected is the time that the request should take with the load as known. Precondition: expected > 0.
    Token requestStarted(TimePoint now, Duration expected);

    void requestSucceeded(Token token, TimePoint now);

    /// The endpoint refused the request without running it.
    void requestRejected(Token token, TimePoint now);

    /// No usable answer: a failure, a reset, a failed connection.
    void requestFailed(Token token, TimePoint now);

    /// The request was given up here; its answer will not be seen.
    void requestCancelled(Token token, TimePoint now);

    void updateLoad(const LoadReport &report, TimePoint now);

    /// Another instance found the endpoint @p slower times as slow as expected at @p observedAt. Unless this instance
    /// has seen it in time since, the endpoint is suspect, and no probe is sent before @p probeAt: one instance's
    /// probe serves all.
    void applySlowReport(double slower, TimePoint observedAt, TimePoint probeAt);

    /// Slowness that this instance itself has observed within the last second; nothing when there is none.
    std::optional<double> locallyObservedSlowness(TimePoint now) const;

    int inFlight() const;

    /// Requests of other callers by the latest report, fading as the report ages.
    double estimatedRemoteInFlight(TimePoint now) const;

    /// Usual latency relative to what is expected; 1 unless the endpoint is suspect.
    double slowness() const;

    /// True while the endpoint is suspect and is not to be probed now.
    bool isSuspect(TimePoint now) const;

    /// Share of recent requests that failed, 0 to 1, fading with time.
    double failureRatio(TimePoint now) const;

    /// How long the oldest request in flight has exceeded a multiple of its expected time; zero if it has not.
    Duration stalledFor(TimePoint now) const;

    /// True while requests should go elsewhere after failures in a row.
    bool isEjected(TimePoint now) const;

private:
    struct Pending
    {
        Token token;
        TimePoint start;
        Duration expected;
    };

    Pending finish(Token token, TimePoint now);
    void noteRatio(double ratio, const Pending &request, TimePoint now);
    void noteFailure(double failure, TimePoint now);

    std::vector<Pending> pending;
    Token nextToken = 1;
    int suspicion = 0;
    /// Requests that started before this moment say nothing new.
    TimePoint suspectSince;
    /// Start of the latest request that was answered in time, and moment of the latest late one.
    std::optional<TimePoint> inTimeSince;
    std::optional<TimePoint> lateAt;
    TimePoint nextProbe;
    double logSlowness = 0;
    double failures = 0;
    TimePoint failuresAt;
    int failuresInRow = 0;
    TimePoint avoidUntil;
    LoadReport report;
    int ownAtReport = 0;
    TimePoint reportAt;
};

}
