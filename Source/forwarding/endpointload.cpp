#include "forwarding/endpointload.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// Lifetime of the request counts of a report. They are of little use once the requests that they counted have ended.
constexpr double requestCountLifetimeSeconds = 0.15;
/// Reported numbers of requests are believed up to this. Durations that are computed from larger ones would overflow.
constexpr int maxRequestCount = 10'000;
/// Reported factors are believed within these bounds.
constexpr double minFactor = 0.25;
constexpr double maxFactor = 10;
/// Weight of one report in an endpoint's mean factor and mean number of requests of others.
constexpr double meanGain = 0.05;
/// Weight of one response in the mean latency of an endpoint.
constexpr double latencyGain = 0.1;
/// Without reports, an endpoint's mean factor approaches the typical one and its mean number of requests of others
/// approaches 0, so that it is tried again.
constexpr double meanHalfLifeSeconds = 5;
/// The weight of a response in the speed falls with the number of responses down to this. The speed starts at 1, with
/// the weight of this number of responses.
constexpr double minSpeedGain = 0.03;
constexpr double speedPriorSamples = 4;
/// The speed stays between this factor and its inverse. An endpoint that is slower becomes suspect.
const double maxLogSpeed = std::log(1.7);
constexpr double speedHalfLifeSeconds = 30;
/// A response is no measure of the speed if it is late or early by more than this factor.
const double maxLogSpeedSample = std::log(3.0);
/// Reports are checked if the factor that they claim is at least this, or at most its inverse.
const double minLogClaim = std::log(2.0);
/// A response that is later than predicted by this factor contradicts the report.
const double lateLogRatio = std::log(3.0);
/// Contradictions, less responses as predicted, after which reports are ignored, and for how long.
constexpr int contradictionsBeforeDistrust = 4;
constexpr Duration distrustTime = Milliseconds(10'000);

double halved(double value, Duration age, double halfLifeSeconds)
{
    return value * std::exp2(-std::max(0.0, fractionalSeconds(age)) / halfLifeSeconds);
}

}

EndpointLoad::EndpointLoad()
    : model(std::make_shared<EndpointLoadModel>())
    , serviceModel(std::make_shared<ServiceLoadModel>())
{
}

void EndpointLoad::setModel(std::shared_ptr<EndpointLoadModel> sharedModel,
                            std::shared_ptr<ServiceLoadModel> sharedServiceModel)
{
    this->model = std::move(sharedModel);
    this->serviceModel = std::move(sharedServiceModel);
}

void EndpointLoad::update(const LoadReport &report, int ownInFlight, TimePoint now)
{
    this->remoteAtReport = std::max(0,
                                    std::clamp(report.running, 0, maxRequestCount)
                                        + std::clamp(report.waiting, 0, maxRequestCount) - ownInFlight);
    this->reportReceivedAt = now;
    this->meanRemoteInFlight += meanGain * (this->remoteAtReport - this->meanRemoteInFlight);
    if (report.workFactor) {
        this->storeFactor(std::log(std::clamp(*report.workFactor, minFactor, maxFactor)), now);
    }
}

void EndpointLoad::storeFactor(double newLogFactor, TimePoint now)
{
    this->model->countReport();
    this->model->recordFactor(newLogFactor);
    if (this->logFactor) {
        this->model->recordChange(
            *this->logFactor - this->logMean, newLogFactor - this->logMean, now - this->factorReceivedAt);
    } else {
        // Later reports may arrive when the endpoint has left the service.
        this->serviceModel->recordWorkFactor();
        this->logMean = this->model->typicalLogFactor();
    }
    this->logMean += meanGain * (newLogFactor - this->logMean);
    this->logFactor = newLogFactor;
    this->factorReceivedAt = now;
}

std::optional<Duration> EndpointLoad::reportAge(TimePoint now) const
{
    return this->reportReceivedAt ? std::optional(now - *this->reportReceivedAt) : std::nullopt;
}

bool EndpointLoad::reportsWorkFactor() const
{
    return this->logFactor.has_value();
}

double EndpointLoad::workFactor(TimePoint at) const
{
    return this->logFactor ? std::exp(this->logSpeedAt(at) + this->logClaim(at)) : 1;
}

double EndpointLoad::remoteInFlight(TimePoint now, double slowness) const
{
    if (!this->reportReceivedAt) {
        return 0;
    }
    const Duration age = now - *this->reportReceivedAt;
    if (this->logFactor && this->meanLatencySeconds > 0) {
        const double mean = halved(this->meanRemoteInFlight, age, meanHalfLifeSeconds);
        const double latency = this->meanLatencySeconds;
        return std::max(0.0, mean + (this->remoteAtReport - mean) * std::exp(-fractionalSeconds(age) / latency));
    }
    const double lifetime = requestCountLifetimeSeconds * slowness;
    const double ageSeconds = fractionalSeconds(age);
    return ageSeconds >= lifetime ? 0 : this->remoteAtReport * (1 - ageSeconds / lifetime);
}

bool EndpointLoad::isDistrusted(TimePoint at) const
{
    return at < this->distrustedUntil;
}

double EndpointLoad::logClaim(TimePoint at) const
{
    if (!this->logFactor || this->isDistrusted(at)) {
        return 0;
    }
    const Duration age = std::max(Duration::zero(), at - this->factorReceivedAt);
    const double meanDeviation = this->logMean - this->model->typicalLogFactor();
    return halved(meanDeviation, age, meanHalfLifeSeconds)
        + (*this->logFactor - this->logMean) * this->model->persistence(age);
}

double EndpointLoad::logSpeedAt(TimePoint at) const
{
    return halved(this->logSpeed, at - this->speedLearnedAt, speedHalfLifeSeconds);
}

EndpointLoad::Prediction EndpointLoad::predict(TimePoint start, Duration expected) const
{
    return { start, expected, this->logClaim(start + expected / 2), this->logSpeedAt(start) };
}

Duration EndpointLoad::toleratedLatency(const Prediction &prediction, TimePoint now) const
{
    double logTolerance = std::max(0.0, -(prediction.logClaim + prediction.logSpeed));
    if (this->logFactor && this->factorReceivedAt >= prediction.start) {
        logTolerance += std::max(0.0, this->logClaim(now) - std::max(0.0, prediction.logClaim));
    }
    return std::chrono::duration_cast<Duration>(prediction.expected * std::exp(logTolerance));
}

bool EndpointLoad::contradicts(double logRatio, const Prediction &prediction, TimePoint now) const
{
    // The factor may have changed during the run: only what was claimed before and with the response counts.
    const double logObserved = logRatio + prediction.logClaim;
    const double slowClaim = std::min(prediction.logClaim, this->logClaim(now));
    const double fastClaim = std::max(prediction.logClaim, this->logClaim(now));
    const bool isFasterThanClaimed = slowClaim >= minLogClaim && logObserved < slowClaim / 2;
    const bool isSlowerThanClaimed = fastClaim <= -minLogClaim && logObserved > fastClaim / 2;
    return isFasterThanClaimed || isSlowerThanClaimed;
}

void EndpointLoad::recordResponse(const Prediction &prediction, TimePoint now)
{
    if (!this->logFactor) {
        this->serviceModel->recordResponseWithoutWorkFactor();
        return;
    }
    const double latencySeconds = fractionalSeconds(std::max(Duration(1), now - prediction.start));
    const double gain = this->meanLatencySeconds > 0 ? latencyGain : 1;
    this->meanLatencySeconds += gain * (latencySeconds - this->meanLatencySeconds);
    const double logRatio = std::log(latencySeconds / fractionalSeconds(prediction.expected));
    const double logUnexplained = std::log(latencySeconds / fractionalSeconds(this->toleratedLatency(prediction, now)));
    if (!this->isDistrusted(now) && prediction.start >= this->contradictedAt) {
        if (logUnexplained > lateLogRatio || this->contradicts(logRatio, prediction, now)) {
            this->recordContradiction(now);
            return;
        }
        this->contradictions = std::max(0, this->contradictions - 1);
    }
    // The factor changed during the run from the predicted one to the one in the response.
    this->recordSpeed(logRatio + prediction.logSpeed - (this->logClaim(now) - prediction.logClaim) / 2, now);
}

void EndpointLoad::recordSpeed(double logSample, TimePoint now)
{
    if (std::abs(logSample - this->serviceModel->meanLogLatencyRatio()) > maxLogSpeedSample) {
        return;
    }
    this->serviceModel->recordLatencyRatio(logSample);
    this->speedSamples = halved(this->speedSamples, now - this->speedLearnedAt, speedHalfLifeSeconds) + 1;
    const double gain = std::max(minSpeedGain, 1 / (this->speedSamples + speedPriorSamples));
    const double current = this->logSpeedAt(now);
    const double deviation = logSample - this->serviceModel->meanLogLatencyRatio();
    this->logSpeed = std::clamp(current + gain * (deviation - current), -maxLogSpeed, maxLogSpeed);
    this->speedLearnedAt = now;
}

void EndpointLoad::recordContradiction(TimePoint now)
{
    this->contradictedAt = now;
    ++this->contradictions;
    if (this->contradictions >= contradictionsBeforeDistrust) {
        this->contradictions = 0;
        this->distrustedUntil = now + distrustTime;
        this->model->countDistrust();
    }
}

}
