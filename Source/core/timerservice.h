#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>

namespace Lycheewall
{

/// Cancels its timer on destruction. A callback that is already running is not interrupted.
class TimerSubscription
{
public:
    virtual ~TimerSubscription() = default;
};
using Subscription = std::unique_ptr<TimerSubscription>;

/**
 * Creates one-shot and periodic timers.
 * Thread safety: all methods may be called from any thread, also from a callback.
 */
class TimerService
{
public:
    virtual ~TimerService() = default;

    /// Calls @p callback once, no earlier than @p delay from now. Precondition: delay >= 0.
    [[nodiscard]] virtual Subscription after(Duration delay, std::function<void()> callback) = 0;

    /// Calls @p callback every @p period until the subscription is destroyed. Precondition: period > 0.
    [[nodiscard]] virtual Subscription every(Duration period, std::function<void()> callback) = 0;
};

}
