#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/**
 * Estimate of the work that requests of one route need: their latency at an endpoint with free slots. Holds the mean
 * and the spread of the logarithm of recent latencies.
 * Thread safety: none; used on the thread of the request loop.
 */
class WorkEstimate
{
public:
    /// Records the latency of a request at an endpoint with free slots. Precondition: latency > 0.
    void record(Duration latency);

    /// Geometric mean of the latencies, or @p fallback while there are too few.
    Duration typical(Duration fallback) const;

    /// A latency that nearly all requests exceed; zero while there are too few.
    Duration lowest() const;

private:
    int samples = 0;
    double logMean = 0;
    double logVariance = 0;
};

}
