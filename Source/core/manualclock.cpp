#include "core/manualclock.h"

#include <unordered_map>

namespace Lycheewall
{

struct ManualClock::Timer
{
    std::uint64_t id;
    Duration period;
    std::function<void()> callback;
};

struct ManualClock::State
{
    mutable std::mutex mutex;
    TimePoint now { std::chrono::seconds(1000) };
    std::uint64_t lastId = 0;
    std::multimap<TimePoint, Timer> timers;
    std::unordered_map<std::uint64_t, std::multimap<TimePoint, Timer>::iterator> timersById;

    void insert(TimePoint due, Timer timer)
    {
        const std::uint64_t timerId = timer.id;
        this->timersById[timerId] = this->timers.emplace(due, std::move(timer));
    }

    /// Removes and returns a timer. The caller destroys it after unlocking the mutex, because its callback may own
    /// further subscriptions, whose destructors lock it.
    std::multimap<TimePoint, Timer>::node_type extract(std::multimap<TimePoint, Timer>::iterator entry)
    {
        this->timersById.erase(entry->second.id);
        return this->timers.extract(entry);
    }

    void remove(std::uint64_t id)
    {
        std::multimap<TimePoint, Timer>::node_type removed;
        const std::lock_guard lock(this->mutex);
        const auto entry = this->timersById.find(id);
        if (entry != this->timersById.end()) {
            removed = this->extract(entry->second);
        }
    }
};

class ManualClock::Handle : public TimerSubscription
{
public:
    Handle(std::weak_ptr<State> owner, std::uint64_t timerId)
        : state(std::move(owner))
        , id(timerId)
    {
    }
    ~Handle() override
    {
        if (const auto owner = this->state.lock()) {
            owner->remove(this->id);
        }
    }

private:
    std::weak_ptr<State> state;
    std::uint64_t id;
};

ManualClock::ManualClock()
    : state(std::make_shared<State>())
{
}

ManualClock::~ManualClock() = default;

TimePoint ManualClock::now() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->now;
}

Subscription ManualClock::after(Duration delay, std::function<void()> callback)
{
    return this->add(delay, Duration::zero(), std::move(callback));
}

Subscription ManualClock::every(Duration period, std::function<void()> callback)
{
    return this->add(period, period, std::move(callback));
}

Subscription ManualClock::add(Duration delay, Duration period, std::function<void()> callback)
{
    const std::lock_guard lock(this->state->mutex);
    const std::uint64_t id = ++this->state->lastId;
    this->state->insert(this->state->now + delay, Timer { id, period, std::move(callback) });
    return std::make_unique<Handle>(this->state, id);
}

bool ManualClock::runNext(TimePoint limit)
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(this->state->mutex);
        const auto first = this->state->timers.begin();
        if (first == this->state->timers.end() || first->first > limit) {
            return false;
        }
        this->state->now = std::max(this->state->now, first->first);
        const TimePoint due = first->first;
        Timer timer = std::move(this->state->extract(first).mapped());
        callback = timer.callback;
        if (timer.period > Duration::zero()) {
            const TimePoint next = due + timer.period;
            this->state->insert(next, std::move(timer));
        }
    }
    callback();
    return true;
}

void ManualClock::advance(Duration step)
{
    const TimePoint limit = this->now() + step;
    while (this->runNext(limit)) { }
    const std::lock_guard lock(this->state->mutex);
    this->state->now = std::max(this->state->now, limit);
}

void ManualClock::advanceWithoutTimers(Duration step)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->now += step;
}

}
