#pragma once

#include "core/clock.h"

#include <mutex>
#include <vector>

namespace Lycheewall
{

/**
 * When an attempt counts as a straggler, from the recent service times of the group.
 * Thread safety: any thread.
 */
class HedgePolicy
{
public:
    static constexpr Duration shortestDelay = Milliseconds(1);
    /// Service times remembered. At 0.7 of capacity of 6 slots of 10 ms this is about one second of traffic.
    static constexpr std::size_t windowSize = 512;
    /// With fewer samples the 95th percentile says nothing.
    static constexpr std::size_t fewestSamples = 40;

    /// An attempt without an answer for so many usual service times is taken for a silent connection.
    static constexpr int silenceFactor = 50;
    /// A silence bound below this would fire on ordinary stragglers and network hiccups of fast pools.
    static constexpr Duration shortestSilence = Milliseconds(500);

    /// @p usualService stands in for the distribution until there are enough samples.
    explicit HedgePolicy(Duration usualService);

    /// Notes how long the first attempt of a task took, or how long it ran before it was given up. Later attempts are
    /// left out: they run only for stragglers and would bias the distribution.
    void observe(Duration service);

    /// Time after its start at which an attempt is hedged: the 90th percentile at a full budget, rising to the 99th at
    /// an empty one. So hedges settle at the rate that the budget allows, and what is left goes to the longest
    /// stragglers; a fixed 95th percentile asks for 5% and is refused for one straggler in five.
    Duration delay(double budgetFill) const;

    /// Time that a task needs at least once it runs: the median of the recent service times, within a quarter and twice
    /// of the usual time. Without these bounds one bad period would make every task look hopeless, and the median could
    /// not recover because nothing would run.
    Duration expectedService() const;

    /// Time after which an attempt without a word is given up.
    Duration silenceBound() const;

    /// Forgets the distribution because the usual service time was changed in the catalogue.
    void restart(Duration usualService);

private:
    Duration quantile(double share) const;
    void sortWindow() const;

    mutable std::mutex mutex;
    Duration usual;
    std::vector<Duration> window;
    std::size_t next = 0;
    mutable std::vector<Duration> sorted;
    mutable std::size_t unsorted = 0;
};

}
