#pragma once

namespace Lycheewall
{

/**
 * What an instance has learned from the responses of all endpoints of one service: whether they report work factors,
 * and the mean ratio of the observed to the predicted latency. Endpoints are compared with that ratio, as a prediction
 * that is wrong for all of them does not make any of them slow.
 * Thread safety: none; used on the thread of the request loop.
 */
class ServiceLoadModel
{
public:
    enum class WorkFactors {
        /// No endpoint has responded yet.
        Unknown,
        /// Endpoints have responded, and none has reported a work factor.
        NotReported,
        /// At least one endpoint has reported a work factor.
        Reported,
    };

    /// Records that an endpoint has reported a work factor.
    void recordWorkFactor();

    /// Records the response of an endpoint that has reported no work factor.
    void recordResponseWithoutWorkFactor();

    /// Forgets what was reported, as all endpoints that reported work factors are gone.
    void forgetWorkFactors();

    WorkFactors workFactors() const;

    /// Records the natural logarithm of a ratio of the observed to the predicted latency.
    void recordLatencyRatio(double logRatio);

    /// Mean of the recent logarithms; 0 if there are none.
    double meanLogLatencyRatio() const;

private:
    WorkFactors reports = WorkFactors::Unknown;
    double mean = 0;
    double count = 0;
};

}
