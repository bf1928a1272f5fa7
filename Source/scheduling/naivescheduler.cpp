#include "scheduling/naivescheduler.h"

#include <optional>

namespace Lycheewall
{

namespace
{

std::vector<EndpointId> idsOf(const Group &group)
{
    std::vector<EndpointId> ids;
    for (const Endpoint &endpoint : group.endpoints) {
        ids.push_back(endpoint.id);
    }
    return ids;
}

EndpointAnswer failedAnswer(AttemptOutcome outcome, Refusal reason)
{
    EndpointAnswer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    return answer;
}

}

std::shared_ptr<GroupScheduler>
NaiveScheduler::create(const SchedulerContext &context, const Pool &pool, const Group &group)
{
    return std::make_shared<NaiveScheduler>(Private(), context, pool, group);
}

NaiveScheduler::NaiveScheduler(Private, const SchedulerContext &schedulerContext, const Pool &pool, const Group &group)
    : context(schedulerContext)
    , pool(pool.id)
    , group(group.id)
    , endpoints(idsOf(group))
    , connections(pool.limits.connections)
{
}

TaskId NaiveScheduler::submit(GroupTask task, Callback callback)
{
    auto self = this->shared_from_this();
    TaskId id;
    {
        const std::lock_guard lock(this->mutex);
        id = TaskId(++this->lastTask);
        Task entry;
        entry.submitted = this->context.clock.now();
        entry.callback = std::move(callback);
        entry.deadline = this->context.timers.after(task.remaining, [self, id] {
            self->finish(id, failedAnswer(AttemptOutcome::Unknown, Refusal::DeadlineExceeded));
        });
        entry.spec = std::move(task);
        this->tasks.emplace(id, std::move(entry));
        if (this->stopping || this->endpoints.empty()) {
            this->later([self, id] { self->finish(id, failedAnswer(AttemptOutcome::NotRun, Refusal::NotOwner)); });
            return id;
        }
    }
    this->startAttempt(id);
    return id;
}

void NaiveScheduler::cancel(TaskId task)
{
    EndpointId endpoint;
    AttemptId attempt;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->tasks.find(task);
        if (entry == this->tasks.end()) {
            return;
        }
        endpoint = entry->second.endpoint;
        attempt = entry->second.attempt;
        auto self = this->shared_from_this();
        this->later([self, task] { self->finish(task, failedAnswer(AttemptOutcome::Unknown, Refusal::Cancelled)); });
    }
    this->context.transport.cancel(endpoint, attempt);
}

void NaiveScheduler::update(const Pool &pool, const Group &group, const std::set<ZoneId> &)
{
    const std::lock_guard lock(this->mutex);
    this->endpoints = idsOf(group);
    this->connections = pool.limits.connections;
}

void NaiveScheduler::stop(std::function<void()> stopped)
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->stopped = std::move(stopped);
    auto self = this->shared_from_this();
    this->later([self] { self->reportStopped(); });
}

std::vector<EndpointId> NaiveScheduler::cold() const
{
    return {};
}

SchedulerState NaiveScheduler::state() const
{
    return {};
}

void NaiveScheduler::startAttempt(TaskId id)
{
    EndpointRequest request;
    EndpointId endpoint;
    int budget = 1;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->tasks.find(id);
        if (entry == this->tasks.end()) {
            return;
        }
        Task &task = entry->second;
        endpoint = this->endpoints[this->context.random.uniformInteger(this->endpoints.size())];
        budget = this->connections;
        task.endpoint = endpoint;
        task.attempt = AttemptId(this->context.random.bits());
        const Duration left = task.submitted + task.spec.remaining - this->context.clock.now();
        request = EndpointRequest { task.attempt, task.spec.request,    task.spec.organisation,
                                    this->pool,   this->group,          task.spec.snapshot,
                                    left,         task.spec.idempotent, task.spec.body };
    }
    auto self = this->shared_from_this();
    const AttemptId attempt = request.attempt;
    this->context.transport.start(endpoint, request, budget, [self, id, attempt](const EndpointAnswer &answer) {
        self->attemptEnded(id, attempt, answer);
    });
}

void NaiveScheduler::attemptEnded(TaskId id, AttemptId attempt, const EndpointAnswer &answer)
{
    bool again = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->tasks.find(id);
        if (entry == this->tasks.end() || entry->second.attempt != attempt) {
            return;
        }
        Task &task = entry->second;
        again = answer.outcome != AttemptOutcome::Answered && task.spec.idempotent && task.retries < maxRetries
            && !this->stopping;
        task.retries += again ? 1 : 0;
    }
    if (again) {
        this->startAttempt(id);
    } else {
        this->finish(id, answer);
    }
}

void NaiveScheduler::finish(TaskId id, const EndpointAnswer &answer)
{
    std::optional<Task> task;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->tasks.find(id);
        if (entry == this->tasks.end()) {
            return;
        }
        task = std::move(entry->second);
        this->tasks.erase(entry);
    }
    const TimePoint now = this->context.clock.now();
    GroupOutcome outcome;
    outcome.outcome = answer.outcome;
    outcome.reason = answer.reason;
    outcome.snapshot = answer.snapshot;
    outcome.documents = answer.documents;
    outcome.body = answer.body;
    outcome.endpoint = task->endpoint;
    outcome.retries = task->retries;
    outcome.service = now - task->submitted;
    task->callback(outcome);
    this->reportStopped();
}

void NaiveScheduler::later(std::function<void()> callback)
{
    const std::uint64_t number = ++this->lastDeferred;
    auto self = this->shared_from_this();
    this->deferred[number]
        = this->context.timers.after(Duration::zero(), [self, number, callback = std::move(callback)] {
              {
                  const std::lock_guard lock(self->mutex);
                  self->deferred.erase(number);
              }
              callback();
          });
}

void NaiveScheduler::reportStopped()
{
    std::function<void()> report;
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping && this->tasks.empty()) {
            report.swap(this->stopped);
        }
    }
    if (report) {
        report();
    }
}

}
