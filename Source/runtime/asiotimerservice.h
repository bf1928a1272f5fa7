#pragma once

#include "core/timerservice.h"

#include <boost/asio/io_context.hpp>

namespace Lycheewall
{

/**
 * Timers on an io_context. Callbacks run on a thread that runs the context, as Asio handlers: they must not suspend a
 * fiber. A subscription may be destroyed on any thread; a callback that starts at that moment still runs to its end.
 * After a pause, a periodic timer runs once and does not catch up on missed periods.
 * Thread safety: any thread. Precondition: the context outlives the service and its subscriptions.
 */
class AsioTimerService : public TimerService
{
public:
    explicit AsioTimerService(boost::asio::io_context &context);

    Subscription after(Duration delay, std::function<void()> callback) override;
    Subscription every(Duration period, std::function<void()> callback) override;

private:
    boost::asio::io_context &context;
};

}
