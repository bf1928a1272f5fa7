#pragma once

#include "core/clock.h"
#include "core/timerservice.h"

#include <map>
#include <mutex>

namespace Lycheewall
{

/**
 * A clock and timer service that move only when told to. For tests and for the measuring tool.
 * Thread safety: all methods may be called from any thread; callbacks run in the caller of advance().
 */
class ManualClock : public Clock, public TimerService
{
public:
    ManualClock();
    ~ManualClock() override;

    TimePoint now() const override;
    Subscription after(Duration delay, std::function<void()> callback) override;
    Subscription every(Duration period, std::function<void()> callback) override;

    /// Moves the time forward and runs each callback that falls due, in order of time.
    void advance(Duration step);

    /// Moves the time without running callbacks, as for a process that was paused; advance(0) then runs what is due.
    void advanceWithoutTimers(Duration step);

private:
    struct Timer;
    class Handle;
    struct State;

    Subscription add(Duration delay, Duration period, std::function<void()> callback);
    bool runNext(TimePoint limit);

    std::shared_ptr<State> state;
};

}
