#include "coordinator/coordinator.h"

#include "admission/keycheck.h"

namespace Lycheewall
{

/// A request between its arrival and its end.
struct Coordinator::Admitted
{
    CallerRequest request;
    OrganisationId organisation;
    TimePoint arrived;
    Done done;
};

Coordinator::Coordinator(const CoordinatorContext &coordinatorContext)
    : context(coordinatorContext)
{
}

void Coordinator::setReady(bool isReady)
{
    this->ready.store(isReady);
}

bool Coordinator::isReady() const
{
    return this->ready.load();
}

std::size_t Coordinator::running() const
{
    return this->inProgress.load();
}

Refusal Coordinator::check(const CallerRequest &request, OrganisationId &organisation) const
{
    const auto catalogue = this->context.configuration.catalogue();
    if (!catalogue || !this->ready.load()) {
        return Refusal::NotReady;
    }
    if (this->context.freshness.cutOff()) {
        return Refusal::StaleConfiguration;
    }
    const Pool *pool = catalogue->findPool(request.pool);
    if (pool == nullptr) {
        return Refusal::UnknownPool;
    }
    if (request.query && !pool->sharded) {
        return Refusal::BadRequest;
    }
    const auto owner = KeyCheck::check(*catalogue, request.pool, request.key);
    if (!owner) {
        return owner.error();
    }
    organisation = owner.value();
    return Refusal::None;
}

void Coordinator::run(CallerRequest request, Done done)
{
    this->inProgress.fetch_add(1);
    auto entry = std::make_shared<Admitted>();
    entry->arrived = this->context.clock.now();
    entry->request = std::move(request);
    entry->done = std::move(done);
    const Refusal refusal = this->check(entry->request, entry->organisation);
    if (refusal != Refusal::None) {
        this->refuse(entry, refusal, Duration::zero());
        return;
    }
    if (entry->organisation.value().empty()) {
        this->admitted(entry, Refusal::None, Duration::zero());
        return;
    }
    const auto patience = std::chrono::duration_cast<Duration>(entry->request.deadline * admissionShare);
    this->context.admission.acquire(entry->organisation, patience, [this, entry](Refusal outcome, Duration retryAfter) {
        this->admitted(entry, outcome, retryAfter);
    });
}

void Coordinator::admitted(const std::shared_ptr<Admitted> &entry, Refusal refusal, Duration retryAfter)
{
    if (refusal != Refusal::None) {
        this->refuse(entry, refusal, retryAfter);
        return;
    }
    // The key may have been withdrawn, or the process paused, while the request waited for its token.
    OrganisationId organisation;
    const Refusal again = this->check(entry->request, organisation);
    if (again != Refusal::None || organisation != entry->organisation) {
        this->refuse(entry, again == Refusal::None ? Refusal::KeyUnknown : again, Duration::zero());
        return;
    }
    const Duration remaining = entry->request.deadline - (this->context.clock.now() - entry->arrived);
    if (remaining <= Duration::zero()) {
        this->refuse(entry, Refusal::DeadlineExceeded, Duration::zero());
        return;
    }
    const auto catalogue = this->context.configuration.catalogue();
    const Pool *found = catalogue->findPool(entry->request.pool);
    if (found == nullptr) {
        this->refuse(entry, Refusal::UnknownPool, Duration::zero());
        return;
    }
    const std::shared_ptr<const Pool> pool(catalogue, found);
    if (entry->request.query) {
        this->startQuery(entry, pool, remaining);
    } else {
        this->startSingle(entry, pool, remaining);
    }
}

void Coordinator::startQuery(const std::shared_ptr<Admitted> &entry,
                             const std::shared_ptr<const Pool> &pool,
                             Duration remaining)
{
    QuerySpec spec;
    spec.request = entry->request.id;
    spec.organisation = entry->organisation;
    spec.workClass = pool->workClass;
    spec.pool = pool;
    spec.deadline = this->context.clock.now() + remaining;
    spec.body = entry->request.body;
    const QueryContext queryContext {
        this->context.clock, this->context.timers, this->context.router, this->context.snapshots, this->context.counters
    };
    Query::start(queryContext, std::move(spec), [this, entry](QueryAnswer ended) {
        CallerAnswer answer;
        answer.id = entry->request.id;
        answer.organisation = entry->organisation;
        answer.refusal = ended.refusal;
        answer.execution = ended.refusal == Refusal::None ? Execution::Ran : Execution::Unknown;
        answer.snapshot = ended.snapshot;
        answer.coverage = std::move(ended.coverage);
        answer.results = std::move(ended.results);
        answer.trace = std::move(ended.trace);
        answer.restarts = ended.restarts;
        this->finish(entry, std::move(answer));
    });
}

void Coordinator::startSingle(const std::shared_ptr<Admitted> &entry,
                              const std::shared_ptr<const Pool> &pool,
                              Duration remaining)
{
    CallerRequest request = entry->request;
    request.deadline = remaining;
    const SingleRequestContext singleContext {
        this->context.clock, this->context.router, this->context.groups, this->context.counters
    };
    SingleRequest::start(
        singleContext, std::move(request), entry->organisation, pool, [this, entry](CallerAnswer answer) {
            this->finish(entry, std::move(answer));
        });
}

void Coordinator::refuse(const std::shared_ptr<Admitted> &entry, Refusal refusal, Duration retryAfter)
{
    CallerAnswer answer;
    answer.id = entry->request.id;
    answer.organisation = entry->organisation;
    answer.refusal = refusal;
    answer.retryAfter = retryAfter;
    this->finish(entry, std::move(answer));
}

void Coordinator::finish(const std::shared_ptr<Admitted> &entry, CallerAnswer answer)
{
    if (answer.refusal != Refusal::None) {
        this->context.counters.countRefusal(answer.refusal);
    }
    RequestTrace trace;
    trace.pool = entry->request.pool;
    trace.organisation = answer.organisation;
    trace.refusal = answer.refusal;
    trace.execution = answer.execution;
    trace.snapshot = answer.snapshot;
    trace.coverage = answer.coverage;
    trace.parts = answer.trace;
    trace.restarts = answer.restarts;
    trace.total = this->context.clock.now() - entry->arrived;
    this->context.traces.add(entry->request.id, std::move(trace));
    const Done done = std::move(entry->done);
    done(std::move(answer));
    this->inProgress.fetch_sub(1);
}

}
