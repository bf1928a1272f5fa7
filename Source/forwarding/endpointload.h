#pragma once

#include "forwarding/endpointloadmodel.h"
#include "forwarding/serviceloadmodel.h"

#include <memory>
#include <optional>

namespace Lycheewall
{

/// Load of an endpoint, as it reports it with a response.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes at the endpoint at this moment, relative to the usual time; std::nullopt if the endpoint
    /// does not tell.
    std::optional<double> workFactor;
};

/**
 * Estimates how long work takes at one endpoint now, and how many requests of others are there, from the endpoint's
 * load reports and from the latencies that were observed.
 *
 * A reported factor counts for less with its age, as far as the factors of all endpoints have been found to change
 * (EndpointLoadModel). An endpoint that differs steadily from what it reports gets a correction, its speed. When
 * responses contradict the reports again and again, the reports are ignored for a time.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointLoad
{
public:
    /// A request for which the endpoint's work factor was estimated.
    struct Prediction
    {
        TimePoint start;
        Duration expected {};
        /// Logarithms of the reported part of the factor and of the speed.
        double logClaim = 0;
        double logSpeed = 0;
    };

    EndpointLoad();

    /// Shares @p model with all other endpoints, and @p serviceModel with those of the same service. Preconditions: not
    /// null; no report was received yet.
    void setModel(std::shared_ptr<EndpointLoadModel> model, std::shared_ptr<ServiceLoadModel> serviceModel);

    /// Stores a report. @p ownInFlight is the number of requests of this instance that it counts.
    void update(const LoadReport &report, int ownInFlight, TimePoint now);

    /// Time since the last report; std::nullopt if there was none.
    std::optional<Duration> reportAge(TimePoint now) const;

    /// True once the endpoint has reported a work factor.
    bool reportsWorkFactor() const;

    /// Factor on the latency of the latency model that is expected at the endpoint at @p at; 1 if it reports none.
    double workFactor(TimePoint at) const;

    /// Estimated number of requests of other clients. @p slowness extends the time for which the report counts.
    double remoteInFlight(TimePoint now, double slowness) const;

    /// The prediction for a request that starts at @p start and is expected to run for @p expected.
    Prediction predict(TimePoint start, Duration expected) const;

    /// The latency above which a response would be later than expected, given the latest reports. At least the expected
    /// latency, also if the endpoint was predicted to be faster than others: that it is as fast as they are is no
    /// fault.
    Duration toleratedLatency(const Prediction &prediction, TimePoint now) const;

    /// Learns from a response to a request, after its load report was stored.
    void recordResponse(const Prediction &prediction, TimePoint now);

private:
    bool isDistrusted(TimePoint at) const;
    /// Logarithm of the reported factor that is expected at @p at, relative to the typical one.
    double logClaim(TimePoint at) const;
    double logSpeedAt(TimePoint at) const;
    void storeFactor(double logFactor, TimePoint now);
    /// True if the endpoint has claimed to be slow or fast, and the latency is closer to the usual one.
    bool contradicts(double logRatio, const Prediction &prediction, TimePoint now) const;
    void recordContradiction(TimePoint now);
    void recordSpeed(double logSample, TimePoint now);

    std::shared_ptr<EndpointLoadModel> model;
    std::shared_ptr<ServiceLoadModel> serviceModel;
    int remoteAtReport = 0;
    std::optional<TimePoint> reportReceivedAt;
    /// Logarithms of the latest reported factor and of the mean of the recent ones.
    std::optional<double> logFactor;
    double logMean = 0;
    TimePoint factorReceivedAt;
    /// Mean number of requests of others in recent reports, and the mean latency of recent responses.
    double meanRemoteInFlight = 0;
    double meanLatencySeconds = 0;
    /// Logarithm of the steady ratio of observed to predicted latency, and the number of responses that it stands for.
    double logSpeed = 0;
    double speedSamples = 0;
    TimePoint speedLearnedAt;
    int contradictions = 0;
    /// Responses to requests that started before this time are no new evidence of a contradiction.
    TimePoint contradictedAt;
    TimePoint distrustedUntil;
};

}
