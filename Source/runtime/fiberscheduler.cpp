#include "runtime/fiberscheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

namespace Lycheewall
{

namespace
{

class AsioAlgorithm : public boost::fibers::algo::algorithm
{
public:
    explicit AsioAlgorithm(std::shared_ptr<boost::asio::io_context> ioContext)
        : context(std::move(ioContext))
        , timer(*this->context)
        , work(boost::asio::make_work_guard(*this->context))
    {
    }

    void awakened(boost::fibers::context *fiber) noexcept override
    {
        fiber->ready_link(this->ready);
    }

    boost::fibers::context *pick_next() noexcept override
    {
        // Only the dispatcher context may run handlers here: a fiber that suspends still holds the lock of the queue
        // it waits in, and a handler that wakes a fiber of that queue would spin on this lock for ever.
        const bool inDispatcher = boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context);
        if (inDispatcher && this->sincePoll >= pollInterval) {
            this->sincePoll = 0;
            this->context->poll();
        }
        if (this->ready.empty()) {
            return nullptr;
        }
        ++this->sincePoll;
        boost::fibers::context *next = &this->ready.front();
        this->ready.pop_front();
        return next;
    }

    bool has_ready_fibers() const noexcept override
    {
        return !this->ready.empty();
    }

    void suspend_until(const std::chrono::steady_clock::time_point &deadline) noexcept override
    {
        this->arm(deadline);
        this->context->run_one();
        this->context->poll();
    }

    void notify() noexcept override
    {
        boost::asio::post(*this->context, [] {});
    }

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Re-arming a timer runs the handler of its former wait, which ends the next run_one() at once. Arming it anew for
    /// the same deadline at each suspension kept the thread spinning, so it is armed only for another deadline.
    void arm(TimePoint deadline)
    {
        if (deadline == TimePoint::max() || deadline == this->armed) {
            return;
        }
        this->armed = deadline;
        this->timer.expires_at(deadline);
        this->timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->armed = TimePoint::max();
            }
        });
    }

    /// Ready fibers served between two looks at the sockets, so that busy fibers do not starve them.
    static constexpr int pollInterval = 64;

    std::shared_ptr<boost::asio::io_context> context;
    boost::asio::steady_timer timer;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    boost::fibers::scheduler::ready_queue_type ready;
    int sincePoll = 0;
    /// Deadline that the timer waits for; max when it waits for none.
    TimePoint armed = TimePoint::max();
};

}

void installFiberScheduler(const std::shared_ptr<boost::asio::io_context> &context)
{
    boost::fibers::use_scheduling_algorithm<AsioAlgorithm>(context);
}

}
