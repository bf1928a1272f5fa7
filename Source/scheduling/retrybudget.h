#pragma once

#include <mutex>

namespace Lycheewall
{

/**
 * Bounds hedges and retries to a share of the first attempts of one daemon.
 * Extra attempts over any period are at most 0.04 per first attempt plus the depth.
 * Thread safety: any thread.
 */
class RetryBudget
{
public:
    /// Extra attempts earned by one first attempt. Leaves 1% of slack under the promised 5% of extra sub-requests.
    static constexpr double perFirstAttempt = 0.04;
    /// Extra attempts that can be saved up.
    static constexpr double depth = 10;

    /// Earns a share of an extra attempt.
    void firstAttempt();

    /// Takes one extra attempt; false when none is left.
    bool take();

    /// Share of the depth that is left, 0 to 1.
    double fill() const;

private:
    mutable std::mutex mutex;
    double level = depth;
};

}
