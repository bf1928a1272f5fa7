#pragma once

#include "admission/ratelimit.h"

#include <cstdint>
#include <deque>
#include <map>

namespace Lycheewall
{

/**
 * Token bucket whose tokens are used up to validity() after they were taken. Its depth is burst - rate * validity, so
 * that the uses in any window stay within rate * t + burst. It starts empty.
 * Thread safety: none; guarded by its owner. Times must not go back; an earlier time counts as the latest one seen.
 */
class TokenBucket
{
public:
    /// Longest validity of a batch.
    static constexpr Duration longestValidity = Milliseconds(300);
    /// How long unused tokens may be given back after they were taken.
    static constexpr Duration returnWindow = Milliseconds(1000);

    /// Identifies a batch: the coordinator and the id of its request.
    using BatchKey = std::pair<InstanceId, std::uint64_t>;

    TokenBucket(RateLimit limit, TimePoint now);

    /// Changes the limit. The level becomes the smaller of the present level and the new depth.
    void setLimit(RateLimit newLimit, TimePoint now);

    /// Takes up to @p wanted whole tokens and notes the batch for giveBack(). Returns how many were taken.
    std::uint32_t take(const BatchKey &batch, std::uint32_t wanted, TimePoint now);

    /// Puts back unused tokens of a batch, once for each batch. Credits at most what the bucket would hold now if they
    /// had never been taken. Batches that this bucket does not know are ignored. Returns the credit.
    double giveBack(const BatchKey &batch, std::uint32_t count, TimePoint now);

    /// Time until a whole token is there. One second when the rate is 0.
    Duration untilNext(TimePoint now);

    /// How long a batch may be used after its request was sent.
    Duration validity() const;

    double depth() const;

    /// Validity that applies under a limit.
    static Duration validityOf(const RateLimit &limit);

private:
    struct Batch
    {
        std::uint32_t count = 0;
        TimePoint taken;
        /// Levels recorded from this number on were seen after the batch was taken.
        std::uint64_t sequence = 0;
    };
    /// A local maximum of the level, without the credits of returned tokens.
    struct Peak
    {
        std::uint64_t sequence = 0;
        double level = 0;
    };

    void applyLimit(const RateLimit &newLimit);
    void refill(TimePoint now);
    void recordPeak();
    double highestSince(const Batch &batch) const;
    void prune(TimePoint now);

    RateLimit limit;
    Duration batchValidity = longestValidity;
    double capacity = 0;
    double level = 0;
    /// Tokens deducted for one granted token; above 1 only when the burst is too small for the validity.
    double cost = 1;
    /// Sum of all credits. Levels of the past count as raised by the credits given since.
    double credits = 0;
    TimePoint updated;
    std::map<BatchKey, Batch> batches;
    /// Keys of batches in the order of taking.
    std::deque<BatchKey> order;
    std::uint64_t lastSequence = 0;
    /// Decreasing in level, increasing in sequence.
    std::deque<Peak> peaks;
};

}
