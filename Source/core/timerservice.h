#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>

namespace Lycheewall
{

/// Ends its timer when it is destroyed. A callback that already runs is not interrupted.
class TimerSubscription
{
public:
    virtual ~TimerSubscription() = default;
};
using Subscription = std::unique_ptr<TimerSubscription>;

/**
 * Timers that parts subscribe to.
 * Thread safety: all methods may be called from any thread, also from a callback.
 */
class TimerService
{
public:
    virtual ~TimerService() = default;

    /// Calls @p callback once, not before @p delay has passed. Precondition: delay >= 0.
    [[nodiscard]] virtual Subscription after(Duration delay, std::function<void()> callback) = 0;

    /// Calls @p callback each @p period until the subscription ends. Precondition: period > 0.
    [[nodiscard]] virtual Subscription every(Duration period, std::function<void()> callback) = 0;
};

}
