#pragma once

#include "core/clock.h"
#include "core/timerservice.h"

#include <map>
#include <mutex>

namespace Lycheewall
{

/**
 * A clock and timer service for tests and simulations. The time changes only through advance() and
 * advanceWithoutTimers().
 * Thread safety: all methods may be called from any thread; callbacks run on the thread that calls advance().
 */
class ManualClock : public Clock, public TimerService
{
public:
    ManualClock();
    ~ManualClock() override;

    TimePoint now() const override;
    Subscription after(Duration delay, std::function<void()> callback) override;
    Subscription every(Duration period, std::function<void()> callback) override;

    /// Moves the time forward and runs the callbacks that become due, ordered by their due time.
    void advance(Duration step);

    /// Moves the time forward without running callbacks, as for a paused process. advance(0) then runs those that are
    /// due.
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
