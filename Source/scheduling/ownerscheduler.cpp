#include "scheduling/ownerscheduler.h"

namespace Lycheewall
{

std::shared_ptr<GroupScheduler> OwnerScheduler::create(const SchedulerContext &context,
                                                       const Pool &pool,
                                                       const Group &group,
                                                       const std::set<ZoneId> &drained,
                                                       const std::set<EndpointId> &knownWarm)
{
    return std::make_shared<OwnerScheduler>(Private(), context, pool, group, drained, knownWarm);
}

OwnerScheduler::OwnerScheduler(Private,
                               const SchedulerContext &schedulerContext,
                               const Pool &pool,
                               const Group &group,
                               const std::set<ZoneId> &drained,
                               const std::set<EndpointId> &knownWarm)
    : context(schedulerContext)
    , work(schedulerContext, pool, group, drained, knownWarm)
{
}

TaskId OwnerScheduler::submit(GroupTask task, Callback callback)
{
    TaskId id;
    {
        const std::lock_guard lock(this->mutex);
        id = this->work.submit(std::move(task), std::move(callback), this->context.clock.now());
    }
    this->proceed(Delivery::Later);
    return id;
}

void OwnerScheduler::cancel(TaskId task)
{
    {
        const std::lock_guard lock(this->mutex);
        this->work.cancel(task, this->context.clock.now());
    }
    this->proceed(Delivery::Later);
}

void OwnerScheduler::update(const Pool &pool, const Group &group, const std::set<ZoneId> &drained)
{
    {
        const std::lock_guard lock(this->mutex);
        this->work.update(pool, group, drained);
    }
    this->proceed(Delivery::Later);
}

void OwnerScheduler::stop(std::function<void()> stopped)
{
    {
        const std::lock_guard lock(this->mutex);
        this->work.stop(std::move(stopped), this->context.clock.now());
    }
    this->proceed(Delivery::Later);
}

std::vector<EndpointId> OwnerScheduler::cold() const
{
    const std::lock_guard lock(this->mutex);
    return this->work.cold();
}

SchedulerState OwnerScheduler::state() const
{
    const std::lock_guard lock(this->mutex);
    return this->work.state();
}

void OwnerScheduler::wake()
{
    {
        const std::lock_guard lock(this->mutex);
        this->wakeAt.reset();
    }
    this->proceed(Delivery::Now);
}

void OwnerScheduler::attemptEnded(AttemptId attempt, const EndpointAnswer &answer)
{
    {
        const std::lock_guard lock(this->mutex);
        this->work.attemptEnded(attempt, answer, this->context.clock.now());
    }
    this->proceed(Delivery::Now);
}

void OwnerScheduler::proceed(Delivery delivery)
{
    // One dispatch at a time: nothing but the release of the lock lies between the gate and the transport.
    for (bool more = true; more;) {
        GroupWork::Step step;
        {
            const std::lock_guard lock(this->mutex);
            const TimePoint now = this->context.clock.now();
            step = this->work.step(now);
            if (!step.start) {
                this->arm(now);
            }
        }
        this->perform(step);
        more = step.start.has_value();
    }
    this->deliver(delivery);
}

void OwnerScheduler::perform(const GroupWork::Step &step)
{
    if (step.start) {
        const AttemptId attempt = step.start->request.attempt;
        auto self = this->shared_from_this();
        this->context.transport.start(
            step.start->endpoint,
            step.start->request,
            step.start->connectionBudget,
            [self, attempt](const EndpointAnswer &answer) { self->attemptEnded(attempt, answer); });
    }
    for (const auto &[endpoint, attempt] : step.cancels) {
        this->context.transport.cancel(endpoint, attempt);
    }
    for (const EndpointId &endpoint : step.closings) {
        this->context.transport.closeIdle(endpoint);
    }
}

void OwnerScheduler::deliver(Delivery delivery)
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard lock(this->mutex);
        if (delivery == Delivery::Now) {
            callbacks = this->work.takeDue();
        } else if (this->work.hasDue() && !this->dueArmed) {
            this->dueArmed = true;
            auto self = this->shared_from_this();
            this->dueTimer = this->context.timers.after(Duration::zero(), [self] {
                {
                    const std::lock_guard guard(self->mutex);
                    self->dueArmed = false;
                }
                self->deliver(Delivery::Now);
            });
        }
    }
    for (const auto &callback : callbacks) {
        callback();
    }
}

void OwnerScheduler::arm(TimePoint now)
{
    const auto next = this->work.nextEvent(now);
    if (!next || (this->wakeAt && *this->wakeAt <= *next)) {
        return;
    }
    this->wakeAt = next;
    const std::weak_ptr<OwnerScheduler> self = this->weak_from_this();
    this->wakeTimer = this->context.timers.after(*next - now, [self] {
        if (const auto scheduler = self.lock()) {
            scheduler->wake();
        }
    });
}

}
