#include "forwarding/endpointloadmodel.h"

#include <algorithm>
#include <cmath>

namespace Lycheewall
{

namespace
{

/// The mean factor starts at 1, with the weight of the first number of reports, and follows the second number. The
/// latency model follows as many responses.
constexpr double initialReportCount = 20;
constexpr double maxReportCount = 600;
/// The first bucket covers ages around this one, each further bucket twice the age.
constexpr double firstBucketMs = 10;
/// Before there are reports, deviations are assumed to be halved in this time.
constexpr double initialHalfLifeMs = 300;
/// Weight of that assumption, and the largest weight of all reports in a bucket, as sums of squared deviations.
constexpr double initialSquares = 2;
constexpr double maxSquares = 100;

void increment(Counter *counter)
{
    if (counter != nullptr) {
        counter->add();
    }
}

}

EndpointLoadModel::EndpointLoadModel()
    : factorCount(initialReportCount)
{
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const double ageMs = firstBucketMs * std::exp2(static_cast<double>(bucket));
        this->buckets[bucket] = { initialSquares * std::exp2(-ageMs / initialHalfLifeMs), initialSquares };
    }
}

void EndpointLoadModel::setCounters(Counters &counters)
{
    this->reports = &counters.counter("lycheewall_endpoint_load_reports_total");
    this->distrusts = &counters.counter("lycheewall_endpoint_load_distrusts_total");
    this->changedChoices = &counters.counter("lycheewall_endpoint_load_choices_changed_total");
}

void EndpointLoadModel::recordFactor(double logFactor)
{
    this->factorCount = std::min(this->factorCount + 1, maxReportCount);
    this->typicalLog += (logFactor - this->typicalLog) / this->factorCount;
}

void EndpointLoadModel::recordChange(double earlierDeviation, double laterDeviation, Duration age)
{
    const double position = std::log2(std::max(fractionalMilliseconds(age), firstBucketMs) / firstBucketMs);
    const auto index = std::min(static_cast<std::size_t>(std::lround(position)), bucketCount - 1);
    Bucket &bucket = this->buckets[index];
    bucket.products += earlierDeviation * laterDeviation;
    bucket.squares += earlierDeviation * earlierDeviation;
    if (bucket.squares > maxSquares) {
        bucket.products /= 2;
        bucket.squares /= 2;
    }
}

double EndpointLoadModel::typicalLogFactor() const
{
    return this->typicalLog;
}

double EndpointLoadModel::bucketPersistence(std::size_t bucket) const
{
    return std::clamp(this->buckets[bucket].products / this->buckets[bucket].squares, 0.0, 1.0);
}

double EndpointLoadModel::persistence(Duration age) const
{
    const double relativeAge = fractionalMilliseconds(age) / firstBucketMs;
    if (relativeAge <= 1) {
        return 1 - relativeAge * (1 - this->bucketPersistence(0));
    }
    const double position = std::log2(relativeAge);
    if (position >= bucketCount - 1) {
        const double lastBucket = this->bucketPersistence(bucketCount - 1);
        return lastBucket * std::exp2(static_cast<double>(bucketCount - 1) - position);
    }
    const auto lower = static_cast<std::size_t>(position);
    const double fraction = position - static_cast<double>(lower);
    return (1 - fraction) * this->bucketPersistence(lower) + fraction * this->bucketPersistence(lower + 1);
}

void EndpointLoadModel::countReport()
{
    increment(this->reports);
}

void EndpointLoadModel::countDistrust()
{
    increment(this->distrusts);
}

void EndpointLoadModel::countChangedChoice()
{
    increment(this->changedChoices);
}

}
