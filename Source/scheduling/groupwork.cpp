#include "scheduling/groupwork.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

constexpr const char *refusalsName = "lycheewall_scheduling_refusals_total";
constexpr const char *retriesName = "lycheewall_scheduling_retries_total";
constexpr const char *retriesRefusedName = "lycheewall_scheduling_retries_refused_total";
constexpr const char *hedgesRefusedName = "lycheewall_scheduling_hedges_refused_total";
constexpr const char *droppedName = "lycheewall_scheduling_answers_dropped_total";

}

GroupWork::GroupWork(const SchedulerContext &schedulerContext,
                     const Pool &pool,
                     const Group &group,
                     const std::set<ZoneId> &drained,
                     const std::set<EndpointId> &knownWarm)
    : context(schedulerContext)
    , pool(pool.id)
    , group(group.id)
    , resource(groupResource(pool.id, group.id))
    , firstAttempts(schedulerContext.counters.counter("lycheewall_scheduling_first_attempts_total"))
    , hedgeCounter(schedulerContext.counters.counter("lycheewall_scheduling_hedges_total", "straggler"))
    , limits(pool.limits)
    , replicas(pool, group, drained, knownWarm)
    , hedging(pool.limits.nominalServiceTime)
{
}

TaskId GroupWork::submit(GroupTask task, Callback callback, TimePoint now)
{
    const auto place = this->ledger.add(std::move(task), std::move(callback), now);
    const TaskId id = place->first;
    if (this->stopping || !this->owns()) {
        this->finish(place, AttemptOutcome::NotRun, Refusal::NotOwner, now);
    } else {
        this->enqueue(id, place->second, false, now);
    }
    return id;
}

void GroupWork::cancel(TaskId task, TimePoint now)
{
    const auto entry = this->ledger.tasks.find(task);
    if (entry == this->ledger.tasks.end()) {
        return;
    }
    const bool mayHaveRun = entry->second.mayHaveRun || !entry->second.live.empty();
    this->finish(entry, mayHaveRun ? AttemptOutcome::Unknown : AttemptOutcome::NotRun, Refusal::Cancelled, now);
}

void GroupWork::update(const Pool &newPool, const Group &newGroup, const std::set<ZoneId> &drained)
{
    if (newPool.limits.nominalServiceTime != this->limits.nominalServiceTime) {
        this->hedging.restart(newPool.limits.nominalServiceTime);
    }
    this->limits = newPool.limits;
    this->replicas.update(newPool, newGroup, drained);
}

void GroupWork::stop(std::function<void()> whenStopped, TimePoint now)
{
    this->stopping = true;
    this->stopped = std::move(whenStopped);
    this->endQueued(Refusal::NotOwner, now);
}

void GroupWork::attemptEnded(AttemptId id, const EndpointAnswer &answer, TimePoint now)
{
    const auto entry = this->ledger.attempts.find(id);
    if (entry == this->ledger.attempts.end()) {
        this->count(droppedName, "repeated-attempt");
        return;
    }
    const Attempt attempt = entry->second;
    this->ledger.attempts.erase(entry);
    this->learn(attempt, answer, now);
    const auto task = this->ledger.tasks.find(attempt.task);
    if (task == this->ledger.tasks.end()) {
        if (answer.outcome == AttemptOutcome::Answered) {
            this->count(droppedName, "finished-task");
        }
        return;
    }
    task->second.live.erase(id);
    task->second.tried.insert(attempt.endpoint);
    if (answer.outcome == AttemptOutcome::Answered) {
        this->answered(task, attempt.endpoint, answer, now);
        return;
    }
    this->failed(task, answer.outcome, attempt.overdue ? Refusal::ConnectionLost : answer.reason, now);
}

std::vector<std::function<void()>> GroupWork::takeDue()
{
    std::vector<std::function<void()>> callbacks;
    callbacks.swap(this->due);
    return callbacks;
}

bool GroupWork::hasDue() const
{
    return !this->due.empty();
}

std::vector<EndpointId> GroupWork::cold() const
{
    return this->replicas.cold();
}

SchedulerState GroupWork::state() const
{
    return SchedulerState { this->queue.size(), this->replicas.reports() };
}

GroupWork::Step GroupWork::step(TimePoint now)
{
    this->endOverdue(now);
    this->endUnreachable(now);
    Step step;
    step.start = this->nextDispatch(now);
    if (!step.start) {
        step.start = this->nextHedge(now);
    }
    if (this->stopping && this->stopped && this->ledger.attempts.empty() && this->ledger.tasks.empty()) {
        this->due.push_back(std::move(this->stopped));
        this->stopped = nullptr;
    }
    step.cancels.swap(this->cancels);
    step.closings.swap(this->closings);
    return step;
}

void GroupWork::endOverdue(TimePoint now)
{
    for (const AttemptId &id : this->ledger.silent(this->hedging.silenceBound(), now)) {
        this->overdue(id, this->ledger.attempts.at(id), now);
    }
    for (const TaskId &id : this->ledger.expired(now)) {
        this->finish(this->ledger.tasks.find(id), AttemptOutcome::Unknown, Refusal::DeadlineExceeded, now);
    }
}

void GroupWork::overdue(AttemptId id, Attempt &attempt, TimePoint now)
{
    attempt.overdue = true;
    this->giveUp(id, attempt, true, now);
    if (this->replicas.at(attempt.endpoint).silent(now)) {
        this->closings.push_back(attempt.endpoint);
    }
    const auto task = this->ledger.tasks.find(attempt.task);
    task->second.mayHaveRun = true;
    task->second.tried.insert(attempt.endpoint);
    // Without a retry the task waits for the end of the attempt or for its deadline.
    if (task->second.spec.idempotent && now < task->second.deadline && !task->second.queued
        && !this->ledger.hasRunningAttempt(task->second)) {
        this->retry(task, "silent-connection", now);
    }
}

void GroupWork::endUnreachable(TimePoint now)
{
    if (this->queue.empty()) {
        return;
    }
    if (!this->owns()) {
        this->endQueued(Refusal::NotOwner, now);
        return;
    }
    const Refusal stall = this->replicas.stall(now);
    for (const QueueEntry &entry : this->queue.takeDueBefore(now + this->hedging.expectedService())) {
        const auto task = this->ledger.tasks.find(TaskId(entry.id));
        task->second.queued = false;
        this->finishQueued(task, stall == Refusal::None ? Refusal::DeadlineUnreachable : stall, now);
    }
    const Refusal obstacle = this->replicas.obstacle(SnapshotVersion(), now);
    if (obstacle != Refusal::None) {
        this->endQueued(obstacle, now);
    }
}

void GroupWork::endQueued(Refusal reason, TimePoint now)
{
    for (const QueueEntry &entry : this->queue.takeAll()) {
        const auto task = this->ledger.tasks.find(TaskId(entry.id));
        task->second.queued = false;
        this->finishQueued(task, reason, now);
    }
}

std::optional<GroupWork::Start> GroupWork::nextDispatch(TimePoint now)
{
    if (this->queue.empty() || !this->replicas.hasRoom(now)) {
        return std::nullopt;
    }
    std::optional<EndpointId> chosen;
    std::vector<std::pair<TaskId, Refusal>> obstructed;
    const auto entry = this->queue.take([&](const QueueEntry &waiting) {
        const TaskId id(waiting.id);
        const Task &task = this->ledger.tasks.at(id);
        chosen = this->replicas.choose(this->ledger.wishOf(task), this->queue.size() - 1, now, this->context.random);
        if (!chosen) {
            const Refusal obstacle = this->replicas.obstacle(task.spec.snapshot, now);
            if (obstacle != Refusal::None) {
                obstructed.emplace_back(id, obstacle);
            }
        }
        return chosen.has_value();
    });
    for (const auto &[id, reason] : obstructed) {
        this->queue.remove(id.value());
        const auto task = this->ledger.tasks.find(id);
        task->second.queued = false;
        this->finishQueued(task, reason, now);
    }
    if (!entry) {
        return std::nullopt;
    }
    const TaskId id(entry->id);
    Task &task = this->ledger.tasks.at(id);
    task.queued = false;
    return this->startAttempt(id, task, *chosen, false, now);
}

std::optional<GroupWork::Start> GroupWork::nextHedge(TimePoint now)
{
    if (this->stopping) {
        return std::nullopt;
    }
    const Duration delay = this->hedging.delay(this->context.budget.fill());
    for (const TaskId &id : this->ledger.stragglers(delay, now)) {
        Task &task = this->ledger.tasks.at(id);
        std::optional<EndpointId> endpoint;
        const char *obstacle = this->hedgeObstacle(task, now, endpoint);
        if (obstacle == nullptr) {
            ++task.hedges;
            this->hedgeCounter.add();
            return this->startAttempt(id, task, *endpoint, true, now);
        }
        if (task.hedgeRefusals.insert(obstacle).second) {
            this->count(hedgesRefusedName, obstacle);
        }
    }
    return std::nullopt;
}

const char *GroupWork::hedgeObstacle(const Task &task, TimePoint now, std::optional<EndpointId> &endpoint)
{
    if (!this->queue.empty()) {
        return "queue-not-empty";
    }
    if (!this->owns()) {
        return "not-owner";
    }
    if (task.deadline - now < this->hedging.expectedService()) {
        return "deadline-unreachable";
    }
    endpoint = this->replicas.choose(this->ledger.wishOf(task), 0, now, this->context.random);
    if (!endpoint) {
        return "no-free-slot";
    }
    return this->context.budget.take() ? nullptr : "budget";
}

GroupWork::Start GroupWork::startAttempt(TaskId id, Task &task, const EndpointId &endpoint, bool hedge, TimePoint now)
{
    Attempt attempt;
    attempt.task = id;
    attempt.endpoint = endpoint;
    attempt.snapshot = task.spec.snapshot;
    attempt.started = now;
    attempt.first = !task.firstDispatch;
    attempt.hedge = hedge;
    if (attempt.first) {
        task.firstDispatch = now;
        this->firstAttempts.add();
        this->context.budget.firstAttempt();
    }
    const AttemptId attemptId(this->context.random.bits());
    task.live.insert(attemptId);
    task.lastEndpoint = endpoint;
    this->replicas.at(endpoint).dispatched(now);
    this->ledger.attempts.emplace(attemptId, attempt);
    Start start;
    start.endpoint = endpoint;
    start.connectionBudget = std::max(1, this->limits.connections / connectionShare);
    start.request
        = EndpointRequest { attemptId,          task.spec.request,   task.spec.organisation, this->pool,    this->group,
                            task.spec.snapshot, task.deadline - now, task.spec.idempotent,   task.spec.body };
    return start;
}

std::optional<TimePoint> GroupWork::nextEvent(TimePoint now) const
{
    std::optional<TimePoint> next
        = this->ledger.nextEvent(this->hedging.delay(this->context.budget.fill()), this->hedging.silenceBound(), now);
    const auto consider = [&](TimePoint time) {
        if (time > now && (!next || time < *next)) {
            next = time;
        }
    };
    if (const auto deadline = this->queue.earliestDeadline()) {
        consider(*deadline - this->hedging.expectedService() + Duration(1));
        if (const auto pauseEnd = this->replicas.nextPauseEnd(now)) {
            consider(*pauseEnd);
        }
    }
    return next;
}

void GroupWork::enqueue(TaskId id, Task &task, bool front, TimePoint now)
{
    const QueueEntry entry { id.value(), task.spec.organisation, task.spec.workClass, task.deadline };
    task.queued = true;
    if (front) {
        this->queue.pushFront(entry);
        return;
    }
    if (const auto dropped = this->queue.push(entry)) {
        const auto victim = this->ledger.tasks.find(TaskId(*dropped));
        victim->second.queued = false;
        this->finishQueued(victim, Refusal::QueueFull, now);
    }
}

void GroupWork::giveUp(AttemptId id, Attempt &attempt, bool straggler, TimePoint now)
{
    if (attempt.cancelled) {
        return;
    }
    attempt.cancelled = true;
    const Duration elapsed = now - attempt.started;
    this->replicas.at(attempt.endpoint).givenUp(elapsed, attempt.started, now);
    if (attempt.first && straggler) {
        this->hedging.observe(elapsed);
    }
    this->cancels.emplace_back(attempt.endpoint, id);
}

void GroupWork::learn(const Attempt &attempt, const EndpointAnswer &answer, TimePoint now)
{
    EndpointState &endpoint = this->replicas.at(attempt.endpoint);
    // The transport's time is preferred: the own clock also counts a pause of this process.
    const Duration service = answer.serviceTime > Duration::zero() ? answer.serviceTime : now - attempt.started;
    if (attempt.cancelled) {
        endpoint.cancelledEnded(answer, now);
    } else {
        endpoint.ended(answer, attempt.snapshot, service, attempt.started, now);
        if (attempt.first && answer.outcome == AttemptOutcome::Answered) {
            this->hedging.observe(service);
        }
    }
    this->replicas.forgetIfUnlisted(attempt.endpoint);
}

void GroupWork::answered(Tasks::iterator task, const EndpointId &endpoint, const EndpointAnswer &answer, TimePoint now)
{
    if (answer.snapshot != task->second.spec.snapshot || answer.group != this->group) {
        this->count(droppedName, answer.group != this->group ? "another-group" : "snapshot-mismatch");
        this->failed(task, AttemptOutcome::Unknown, Refusal::SnapshotMismatch, now);
        return;
    }
    GroupOutcome outcome;
    outcome.outcome = AttemptOutcome::Answered;
    outcome.snapshot = answer.snapshot;
    outcome.documents = answer.documents;
    outcome.body = answer.body;
    outcome.endpoint = endpoint;
    this->finish(task, std::move(outcome), now);
}

void GroupWork::failed(Tasks::iterator task, AttemptOutcome outcome, Refusal reason, TimePoint now)
{
    Task &entry = task->second;
    entry.mayHaveRun = entry.mayHaveRun || outcome != AttemptOutcome::NotRun;
    if (entry.queued || this->ledger.hasRunningAttempt(entry) || this->retry(task, refusalCode(reason), now)) {
        return;
    }
    if (!entry.live.empty()) {
        return;
    }
    if (!entry.mayHaveRun) {
        this->finish(task, AttemptOutcome::NotRun, reason, now);
        return;
    }
    this->finish(task, AttemptOutcome::Unknown, entry.spec.idempotent ? reason : Refusal::OutcomeUnknown, now);
}

bool GroupWork::retry(Tasks::iterator task, std::string_view reason, TimePoint now)
{
    Task &entry = task->second;
    if (entry.mayHaveRun && !entry.spec.idempotent) {
        this->count(retriesRefusedName, "may-have-run");
        return false;
    }
    if (this->stopping || !this->owns()) {
        this->count(retriesRefusedName, "not-owner");
        return false;
    }
    if (entry.retries >= maxRetries) {
        this->count(retriesRefusedName, "too-many");
        return false;
    }
    if (entry.deadline - now < this->hedging.expectedService()) {
        this->count(retriesRefusedName, "deadline-unreachable");
        return false;
    }
    if (this->replicas.obstacle(entry.spec.snapshot, now) != Refusal::None) {
        this->count(retriesRefusedName, "no-replica");
        return false;
    }
    if (!this->context.budget.take()) {
        this->count(retriesRefusedName, "budget");
        return false;
    }
    ++entry.retries;
    this->count(retriesName, reason);
    this->enqueue(task->first, entry, true, now);
    return true;
}

void GroupWork::finish(Tasks::iterator task, GroupOutcome outcome, TimePoint now)
{
    Task &entry = task->second;
    if (entry.queued) {
        this->queue.remove(task->first.value());
    }
    const bool lost = entry.hedges > 0 && outcome.outcome == AttemptOutcome::Answered;
    for (const AttemptId &id : entry.live) {
        this->giveUp(id, this->ledger.attempts.at(id), lost, now);
    }
    if (outcome.outcome != AttemptOutcome::Answered) {
        this->count(refusalsName, refusalCode(outcome.reason));
        outcome.endpoint = entry.lastEndpoint;
    }
    outcome.hedges = entry.hedges;
    outcome.retries = entry.retries;
    outcome.queued = entry.firstDispatch.value_or(now) - entry.submitted;
    outcome.service = now - entry.firstDispatch.value_or(now);
    outcome.queueLength = static_cast<std::uint32_t>(this->queue.size());
    this->due.emplace_back([callback = std::move(entry.callback), result = std::move(outcome)] { callback(result); });
    this->ledger.tasks.erase(task);
}

void GroupWork::finish(Tasks::iterator task, AttemptOutcome outcome, Refusal reason, TimePoint now)
{
    GroupOutcome result;
    result.outcome = outcome;
    result.reason = reason;
    this->finish(task, std::move(result), now);
}

void GroupWork::finishQueued(Tasks::iterator task, Refusal reason, TimePoint now)
{
    // An attempt that exceeded its bound may still answer before the deadline.
    if (!task->second.live.empty()) {
        return;
    }
    this->finish(task, task->second.mayHaveRun ? AttemptOutcome::Unknown : AttemptOutcome::NotRun, reason, now);
}

bool GroupWork::owns() const
{
    return this->context.ownership.owns(this->resource);
}

void GroupWork::count(const char *name, std::string_view reason)
{
    this->context.counters.counter(name, reason).add();
}

}
