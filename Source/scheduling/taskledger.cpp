#include "scheduling/taskledger.h"

#include <algorithm>

namespace Lycheewall
{

TaskLedger::Tasks::iterator TaskLedger::add(GroupTask spec, GroupScheduler::Callback callback, TimePoint now)
{
    Task task;
    task.submitted = now;
    task.deadline = now + spec.remaining;
    task.spec = std::move(spec);
    task.callback = std::move(callback);
    return this->tasks.emplace(TaskId(++this->lastTask), std::move(task)).first;
}

bool TaskLedger::hasRunningAttempt(const Task &task) const
{
    return std::any_of(
        task.live.begin(), task.live.end(), [this](const AttemptId &id) { return !this->attempts.at(id).overdue; });
}

ReplicaSet::Wish TaskLedger::wishOf(const Task &task) const
{
    ReplicaSet::Wish wish;
    wish.snapshot = task.spec.snapshot;
    wish.tried = task.tried;
    for (const AttemptId &id : task.live) {
        wish.busy.insert(this->attempts.at(id).endpoint);
    }
    return wish;
}

std::set<TaskId> TaskLedger::expired(TimePoint now) const
{
    std::set<TaskId> list;
    for (const auto &[id, attempt] : this->attempts) {
        const auto task = this->tasks.find(attempt.task);
        if (task != this->tasks.end() && now >= task->second.deadline) {
            list.insert(attempt.task);
        }
    }
    return list;
}

std::vector<AttemptId> TaskLedger::silent(Duration bound, TimePoint now) const
{
    std::vector<AttemptId> list;
    for (const auto &[id, attempt] : this->attempts) {
        const auto task = this->tasks.find(attempt.task);
        if (task == this->tasks.end() || attempt.overdue || now - attempt.started < bound) {
            continue;
        }
        if (task->second.spec.idempotent || now >= task->second.deadline) {
            list.push_back(id);
        }
    }
    return list;
}

std::vector<TaskId> TaskLedger::stragglers(Duration delay, TimePoint now) const
{
    std::vector<std::pair<TimePoint, TaskId>> found;
    for (const auto &[id, attempt] : this->attempts) {
        const auto task = this->tasks.find(attempt.task);
        if (task != this->tasks.end() && now - attempt.started >= delay && isLoneAttempt(attempt, task->second)) {
            found.emplace_back(attempt.started, attempt.task);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<TaskId> list;
    list.reserve(found.size());
    for (const auto &[started, id] : found) {
        list.push_back(id);
    }
    return list;
}

std::optional<TimePoint> TaskLedger::nextEvent(Duration hedgeDelay, Duration silenceBound, TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint time) {
        if (time > now && (!next || time < *next)) {
            next = time;
        }
    };
    for (const auto &[id, attempt] : this->attempts) {
        const auto task = this->tasks.find(attempt.task);
        if (task == this->tasks.end()) {
            continue;
        }
        consider(task->second.deadline);
        if (task->second.spec.idempotent) {
            consider(attempt.started + silenceBound);
        }
        if (isLoneAttempt(attempt, task->second)) {
            consider(attempt.started + hedgeDelay);
        }
    }
    return next;
}

bool TaskLedger::isLoneAttempt(const Attempt &attempt, const Task &task)
{
    const bool pending = !attempt.hedge && !attempt.cancelled && !attempt.overdue;
    return pending && task.spec.idempotent && task.hedges == 0 && task.live.size() == 1 && !task.queued;
}

}
