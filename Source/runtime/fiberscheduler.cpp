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

class AsioSchedulingAlgorithm : public boost::fibers::algo::algorithm
{
public:
    explicit AsioSchedulingAlgorithm(std::shared_ptr<boost::asio::io_context> ioContext)
        : context(std::move(ioContext))
        , timer(*this->context)
        , workGuard(boost::asio::make_work_guard(*this->context))
    {
    }

    void awakened(boost::fibers::context *fiber) noexcept override
    {
        fiber->ready_link(this->ready);
    }

    boost::fibers::context *pick_next() noexcept override
    {
        // Handlers may run here only in the dispatcher context: a suspending fiber still holds the lock of the wait
        // queue that it joins, and a handler that wakes a fiber of that queue would spin on the lock forever.
        const bool inDispatcher = boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context);
        if (inDispatcher && this->dispatchedSincePoll >= pollInterval) {
            this->dispatchedSincePoll = 0;
            this->context->poll();
        }
        if (this->ready.empty()) {
            return nullptr;
        }
        ++this->dispatchedSincePoll;
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

    /// Rearming the timer runs the handler of its previous wait, which makes the next run_one() return immediately.
    /// When each suspension rearmed it for the same deadline, the thread spun; so it is rearmed only if the deadline
    /// differs.
    void arm(TimePoint deadline)
    {
        if (deadline == TimePoint::max() || deadline == this->armedDeadline) {
            return;
        }
        this->armedDeadline = deadline;
        this->timer.expires_at(deadline);
        this->timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->armedDeadline = TimePoint::max();
            }
        });
    }

    /// Number of fibers that are dispatched between two polls of the io_context, so that busy fibers do not starve I/O.
    static constexpr int pollInterval = 64;

    std::shared_ptr<boost::asio::io_context> context;
    boost::asio::steady_timer timer;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    boost::fibers::scheduler::ready_queue_type ready;
    int dispatchedSincePoll = 0;
    /// Deadline for which the timer is armed; TimePoint::max() if it is not armed.
    TimePoint armedDeadline = TimePoint::max();
};

}

void installFiberScheduler(const std::shared_ptr<boost::asio::io_context> &context)
{
    boost::fibers::use_scheduling_algorithm<AsioSchedulingAlgorithm>(context);
}

}
