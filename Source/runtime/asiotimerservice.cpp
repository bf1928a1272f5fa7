#include "runtime/asiotimerservice.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Lycheewall
{

namespace
{

/// A timer. Once armed, all members except the cancelled flag are used on the context's thread only.
class Timer : public std::enable_shared_from_this<Timer>
{
public:
    Timer(boost::asio::io_context &context, Duration timerPeriod, std::function<void()> body)
        : timer(context)
        , period(timerPeriod)
        , callback(std::move(body))
    {
    }

    void arm(Duration delay)
    {
        this->timer.expires_after(delay);
        this->wait();
    }

    /// Thread safety: any thread.
    void cancel()
    {
        this->cancelled.store(true);
        boost::asio::post(this->timer.get_executor(), [self = this->shared_from_this()] {
            self->timer.cancel();
            // Releases the callback's captures on the context's thread, where it cannot be running at the same time.
            self->callback = nullptr;
        });
    }

private:
    void wait()
    {
        this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->fire();
            }
        });
    }

    void fire()
    {
        if (this->cancelled.load()) {
            return;
        }
        if (this->period == Duration::zero()) {
            // Ends with its captures, which may own the subscription of this timer.
            const std::function<void()> lastCallback = std::move(this->callback);
            lastCallback();
            return;
        }
        this->callback();
        if (this->cancelled.load()) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto next = this->timer.expiry() + this->period;
        this->timer.expires_at(next > now ? next : now + this->period);
        this->wait();
    }

    boost::asio::steady_timer timer;
    Duration period;
    std::function<void()> callback;
    std::atomic<bool> cancelled { false };
};

class TimerHandle : public TimerSubscription
{
public:
    explicit TimerHandle(std::shared_ptr<Timer> target)
        : timer(std::move(target))
    {
    }
    ~TimerHandle() override
    {
        this->timer->cancel();
    }

private:
    std::shared_ptr<Timer> timer;
};

Subscription
startTimer(boost::asio::io_context &context, Duration delay, Duration period, std::function<void()> callback)
{
    auto timer = std::make_shared<Timer>(context, period, std::move(callback));
    timer->arm(delay);
    return std::make_unique<TimerHandle>(std::move(timer));
}

}

AsioTimerService::AsioTimerService(boost::asio::io_context &ioContext)
    : context(ioContext)
{
}

Subscription AsioTimerService::after(Duration delay, std::function<void()> callback)
{
    return startTimer(this->context, delay, Duration::zero(), std::move(callback));
}

Subscription AsioTimerService::every(Duration period, std::function<void()> callback)
{
    return startTimer(this->context, period, period, std::move(callback));
}

}
