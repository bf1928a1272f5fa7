#pragma once

#include "core/timerservice.h"

#include <boost/asio/io_context.hpp>

namespace Lycheewall
{

/**
 * Timers on an io_context. Callbacks run as Asio handlers on a thread that runs the context, so they must not suspend a
 * fiber. A subscription may be destroyed on any thread; a callback that starts concurrently still runs to completion.
 * After a delay, a periodic timer fires once and does not catch up on missed periods.
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
