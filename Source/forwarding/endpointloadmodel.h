#pragma once

#include "core/clock.h"
#include "core/counters.h"

#include <array>

namespace Lycheewall
{

/**
 * What an instance has learned from the work factors that all its endpoints report: the typical factor, and how much of
 * a deviation from an endpoint's own mean is left after a time. Factors are handled as natural logarithms.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointLoadModel
{
public:
    EndpointLoadModel();

    /// Events are counted in @p counters, which outlives the model. Without counters, they are not counted.
    void setCounters(Counters &counters);

    /// Records the factor of a report.
    void recordFactor(double logFactor);

    /// Records two successive reports of an endpoint, by their deviations from the endpoint's mean. @p age is the time
    /// between them. Precondition: age >= 0.
    void recordChange(double earlierDeviation, double laterDeviation, Duration age);

    /// Mean of the recent factors of all endpoints. Latencies that were measured recently contain it.
    double typicalLogFactor() const;

    /// Expected fraction of a deviation that is left after @p age, 0 to 1. Precondition: age >= 0.
    double persistence(Duration age) const;

    void countReport();
    void countDistrust();
    void countChangedChoice();

private:
    static constexpr std::size_t bucketCount = 10;
    /// Sums for the regression of the later deviation on the earlier one.
    struct Bucket
    {
        double products = 0;
        double squares = 0;
    };

    double bucketPersistence(std::size_t bucket) const;

    std::array<Bucket, bucketCount> buckets;
    double typicalLog = 0;
    double factorCount;
    Counter *reports = nullptr;
    Counter *distrusts = nullptr;
    Counter *changedChoices = nullptr;
};

}
