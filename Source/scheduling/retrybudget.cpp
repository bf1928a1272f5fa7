#include "scheduling/retrybudget.h"

#include <algorithm>

namespace Lycheewall
{

void RetryBudget::firstAttempt()
{
    const std::lock_guard lock(this->mutex);
    this->level = std::min(depth, this->level + perFirstAttempt);
}

bool RetryBudget::take()
{
    const std::lock_guard lock(this->mutex);
    if (this->level < 1) {
        return false;
    }
    this->level -= 1;
    return true;
}

double RetryBudget::fill() const
{
    const std::lock_guard lock(this->mutex);
    return this->level / depth;
}

}
