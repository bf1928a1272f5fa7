#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace Lycheewall
{

/**
 * A thread that runs fibers and the handlers of its own io_context.
 * Thread safety: spawn() and stop() may be called from any thread.
 */
class Worker
{
public:
    /// Starts the thread.
    static std::unique_ptr<Worker> create();

    /// Stops and joins the thread; fibers that are still running are abandoned. Precondition: not called on the
    /// worker's own thread.
    ~Worker();

    boost::asio::io_context &context();

    /// Runs @p body in a new fiber of this worker.
    void spawn(std::function<void()> body);

    /// Lets the thread exit once it is idle, without waiting for it. May be called more than once.
    void stop();

private:
    Worker();
    void run();

    std::shared_ptr<boost::asio::io_context> io;
    struct StopSignal;
    std::shared_ptr<StopSignal> stopSignal;
    std::thread thread;
};

}
