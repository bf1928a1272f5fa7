#include "runtime/worker.h"

#include "runtime/fiberscheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

namespace Lycheewall
{

struct Worker::StopSignal
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable condition;
    bool stopped = false;
};

std::unique_ptr<Worker> Worker::create()
{
    return std::unique_ptr<Worker>(new Worker);
}

Worker::Worker()
    : io(std::make_shared<boost::asio::io_context>(1))
    , stopSignal(std::make_shared<StopSignal>())
    , thread([this] { this->run(); })
{
}

Worker::~Worker()
{
    this->stop();
    this->thread.join();
}

boost::asio::io_context &Worker::context()
{
    return *this->io;
}

void Worker::spawn(std::function<void()> body)
{
    boost::asio::post(*this->io,
                      [body = std::move(body)]() mutable { boost::fibers::fiber(std::move(body)).detach(); });
}

void Worker::stop()
{
    const std::lock_guard lock(this->stopSignal->mutex);
    this->stopSignal->stopped = true;
    this->stopSignal->condition.notify_all();
}

void Worker::run()
{
    installFiberScheduler(this->io);
    std::unique_lock lock(this->stopSignal->mutex);
    this->stopSignal->condition.wait(lock, [this] { return this->stopSignal->stopped; });
}

}
