#pragma once

#include "core/clock.h"

#include <algorithm>
#include <vector>

namespace Lycheewall
{

/**
 * Finds the largest number of admissions above rate * t + burst in any window of a log. Independent of the limiters.
 * When the rate changes, the higher of the old and the new rate counts while both may be in force.
 */
class WindowChecker
{
public:
    /// From @p time on, @p rate is in force.
    void setRate(TimePoint time, double rate)
    {
        this->rates.push_back({ time, rate });
    }

    /// Largest excess over all windows that begin and end with an admission; at most 0 when the limit was kept.
    double excess(std::vector<TimePoint> admissions, double burst) const
    {
        std::sort(admissions.begin(), admissions.end());
        // A window from admission i to j holds j - i + 1; its excess is that less the allowance between the two.
        double lowest = 0;
        double worst = -burst;
        for (std::size_t index = 0; index < admissions.size(); ++index) {
            const double position = static_cast<double>(index) - this->allowance(admissions[index]);
            lowest = index == 0 ? position : std::min(lowest, position);
            worst = std::max(worst, position - lowest + 1 - burst);
        }
        return worst;
    }

private:
    struct Change
    {
        TimePoint time;
        double rate;
    };

    /// Integral of the rate up to a time.
    double allowance(TimePoint time) const
    {
        double sum = 0;
        for (std::size_t index = 0; index < this->rates.size() && this->rates[index].time < time; ++index) {
            const bool last = index + 1 == this->rates.size();
            const TimePoint end = last ? time : std::min(time, this->rates[index + 1].time);
            sum += this->rates[index].rate * std::chrono::duration<double>(end - this->rates[index].time).count();
        }
        return sum;
    }

    std::vector<Change> rates;
};

}
