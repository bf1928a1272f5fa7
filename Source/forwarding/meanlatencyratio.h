#pragma once

namespace Lycheewall
{

/**
 * Mean ratio of the observed to the predicted latency at the endpoints of one service. Endpoints are compared with it,
 * as a prediction that is wrong for all of them does not make any of them slow.
 * Thread safety: none; used on the thread of the request loop.
 */
class MeanLatencyRatio
{
public:
    /// Records the natural logarithm of a ratio.
    void record(double logRatio);

    /// Mean of the recent logarithms; 0 if there are none.
    double logMean() const;

private:
    double mean = 0;
    double count = 0;
};

}
