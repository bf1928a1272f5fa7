#pragma once

#include "core/clock.h"
#include "forwarding/endpointload.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Lycheewall
{

/**
 * Statistics of one endpoint: requests in flight, slowness and failures as this instance has observed them, and the
 * load that the endpoint has reported.
 *
 * An endpoint that responds much later than expected becomes suspect. A single late response is weak evidence, because
 * endpoints pause briefly, so a suspect endpoint soon gets a single request again (a probe). Each late probe doubles
 * the interval to the next one; a probe that is on time clears the suspicion.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointStats
{
public:
    /// Identifies a request in flight.
    using Token = std::uint64_t;

    /// Sets a function that is called whenever a late event makes locallyObservedSlowness() return a value.
    void setLateListener(std::function<void()> listener);

    /// Shares what is learned from load reports with other endpoints, see EndpointLoad::setModel(). Preconditions: not
    /// null; no report was received yet.
    void setLoadModel(std::shared_ptr<EndpointLoadModel> model, std::shared_ptr<ServiceLoadModel> serviceModel);

    /// Records the start of a request. @p expected is its expected latency under the known load of the endpoint.
    /// Precondition: expected > 0.
    Token requestStarted(TimePoint now, Duration expected);

    /// The endpoint sent a usable response.
    void requestSucceeded(Token token, TimePoint now);

    /// The endpoint rejected the request without running it, which counts as a late event.
    void requestRejected(Token token, TimePoint now);

    /// There was no usable response: the request failed, or its connection was reset or could not be made.
    void requestFailed(Token token, TimePoint now);

    /// This instance cancelled the request and will not see its response.
    void requestCancelled(Token token, TimePoint now);

    /// Stores the load that the endpoint reported at @p now.
    void updateLoad(const LoadReport &report, TimePoint now);

    /// Applies the report of another instance, which observed @p reportedSlowness at @p observedAt. The endpoint
    /// becomes suspect and is not probed before @p probeAt, because one instance's probe serves all. The report is
    /// ignored if a request that this instance started at @p observedAt or later got a response on time.
    void applySlowReport(double reportedSlowness, TimePoint observedAt, TimePoint probeAt);

    /// Slowness that this instance itself has observed within the last second; std::nullopt if the endpoint was not
    /// late then, or too few times in a row to be reported to other instances.
    std::optional<double> locallyObservedSlowness(TimePoint now) const;

    /// Requests of this instance in flight.
    int inFlight() const;

    /// Estimated number of requests of other clients at the endpoint: the count of the latest load report without the
    /// requests of this instance. As the report ages, the estimate approaches the mean of recent reports if the
    /// endpoint reports a work factor, otherwise 0.
    double estimatedRemoteInFlight(TimePoint now) const;

    /// Time since the endpoint last reported its load; std::nullopt if it has not.
    std::optional<Duration> loadReportAge(TimePoint now) const;

    /// Factor on the typical latency that is expected of work at the endpoint at @p now, from the factors that it has
    /// reported and its responses; 1 if unknown.
    double workFactor(TimePoint now) const;

    /// True once the endpoint has reported how long work takes there.
    bool reportsWorkFactor() const;

    /// Observed latency divided by the expected latency, at least 1; 1 unless the endpoint is under suspicion.
    double slowness() const;

    /// True while the endpoint is under suspicion and no probe may be sent: the next one is not due yet, or a request
    /// is still in flight.
    bool isSuspect(TimePoint now) const;

    /// Fraction of recent requests that failed, 0 to 1, decaying with time.
    double failureRatio(TimePoint now) const;

    /// Time by which the oldest request in flight has exceeded a multiple of its expected latency; zero if it has not.
    Duration stalledFor(TimePoint now) const;

    /// True while the endpoint is ejected after consecutive failures: requests should go to other endpoints.
    bool isEjected(TimePoint now) const;

private:
    struct Pending
    {
        Token token;
        TimePoint start;
        EndpointLoad::Prediction prediction;
    };

    Pending removePending(Token token, TimePoint now);
    /// Observed / expected latency of a request that has run until @p now.
    double latencyRatio(const Pending &request, TimePoint now) const;
    void recordLatencyRatio(double ratio, const Pending &request, TimePoint now);
    void recordFailureSample(double failure, TimePoint now);

    std::function<void()> lateListener;
    std::vector<Pending> pending;
    Token nextToken = 1;
    /// Number of late events that counted as evidence since the last response on time; a report of another instance
    /// counts as the first one. 0 if not under suspicion.
    int suspicionLevel = 0;
    /// Responses to requests that started before this time are no new evidence: the same pause may have delayed them.
    TimePoint suspectSince;
    /// Start time of the latest request whose response was on time, and time of the latest late event.
    std::optional<TimePoint> lastOnTimeStart;
    std::optional<TimePoint> lastLateAt;
    TimePoint nextProbeAt;
    /// Logarithm of observed / expected latency: a moving average while under suspicion, otherwise the latest value.
    double logSlowness = 0;
    double failureMean = 0;
    TimePoint failureMeanAt;
    int consecutiveFailures = 0;
    TimePoint ejectedUntil;
    EndpointLoad load;
};

}
