#include "query/query.h"

#include <algorithm>
#include <utility>

namespace Lycheewall
{

namespace
{

constexpr const char *droppedName = "lycheewall_query_answers_dropped_total";
constexpr const char *missingName = "lycheewall_query_missing_parts_total";
constexpr const char *refusalsName = "lycheewall_query_refusals_total";
constexpr const char *restartsName = "lycheewall_query_restarts_total";
constexpr const char *documentsName = "lycheewall_query_documents_mismatch_total";

/// Usual service times that have to remain for a restart: one for the queue, one to run, one hedge, one for the hops.
constexpr int restartServiceTimes = 4;

/// Precondition: the pool lists the version.
const Snapshot &snapshotOf(const Pool &pool, SnapshotVersion version)
{
    return *std::find_if(pool.snapshots.begin(), pool.snapshots.end(), [version](const Snapshot &each) {
        return each.version == version;
    });
}

/// The reason of most missing parts; the first in the order of the group names among equals.
Refusal commonReason(const Coverage &coverage)
{
    std::map<Refusal, int> counts;
    Refusal common = Refusal::None;
    for (const MissingPart &part : coverage.missing()) {
        ++counts[part.reason];
        if (common == Refusal::None || counts[part.reason] > counts[common]) {
            common = part.reason;
        }
    }
    return common;
}

PartTrace traceOf(const PartOutcome &outcome, int restart)
{
    PartTrace trace;
    trace.group = outcome.group;
    trace.restart = restart;
    trace.snapshot = outcome.snapshot;
    trace.outcome = outcome.outcome;
    trace.reason = outcome.reason;
    trace.endpoint = outcome.endpoint;
    trace.hedges = outcome.hedges;
    trace.retries = outcome.retries;
    trace.queued = outcome.queued;
    trace.service = outcome.service;
    trace.queueLength = outcome.queueLength;
    return trace;
}

}

std::shared_ptr<Query> Query::start(const QueryContext &context, QuerySpec spec, Done done)
{
    auto query = std::make_shared<Query>(Private(), context, std::move(spec), std::move(done));
    query->begin();
    return query;
}

Query::Query(Private, const QueryContext &queryContext, QuerySpec querySpec, Done whenDone)
    : context(queryContext)
    , spec(std::move(querySpec))
    , done(std::move(whenDone))
{
}

void Query::begin()
{
    auto self = this->shared_from_this();
    Steps steps;
    {
        const std::lock_guard lock(this->mutex);
        const TimePoint now = this->context.clock.now();
        const auto version = this->context.snapshots.choose(*this->spec.pool);
        if (version) {
            this->pin(*version);
        }
        const bool runnable = !this->open.empty() && now < this->spec.deadline;
        const Refusal reason = version ? Refusal::DeadlineExceeded : Refusal::SnapshotUnavailable;
        const Duration delay = runnable ? this->spec.deadline - now : Duration::zero();
        // The timer holds the query until it is done.
        this->timer = this->context.timers.after(delay, [self, reason] { self->end(reason); });
        if (runnable) {
            steps.request = this->request(now);
            steps.attempt = this->restarts;
        }
    }
    this->perform(std::move(steps));
}

void Query::cancel()
{
    this->end(Refusal::Cancelled);
}

void Query::end(Refusal whenEmpty)
{
    Steps steps;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->finished) {
            steps = this->finish(whenEmpty);
        }
    }
    this->perform(std::move(steps));
}

void Query::take(int attempt, PartOutcome outcome)
{
    Steps steps;
    {
        const std::lock_guard lock(this->mutex);
        if (this->isExpected(attempt, outcome)) {
            steps = this->settle(std::move(outcome));
        }
    }
    this->perform(std::move(steps));
}

bool Query::isExpected(int attempt, const PartOutcome &outcome)
{
    if (this->finished) {
        return this->drop("finished-query");
    }
    if (attempt != this->restarts) {
        return this->drop("restarted-query");
    }
    if (!this->coverage.asksFor(outcome.group)) {
        return this->drop("another-group");
    }
    if (this->open.count(outcome.group) == 0) {
        return this->drop("repeated-part");
    }
    if (outcome.outcome == AttemptOutcome::Answered && outcome.snapshot != this->snapshot) {
        // The part stays open: the right answer may still come.
        this->coverage.miss(outcome.group, Refusal::SnapshotMismatch);
        return this->drop("snapshot-mismatch");
    }
    return true;
}

Query::Steps Query::settle(PartOutcome outcome)
{
    this->trace.push_back(traceOf(outcome, this->restarts));
    this->open.erase(outcome.group);
    if (outcome.outcome == AttemptOutcome::Answered) {
        if (outcome.documents != snapshotOf(*this->spec.pool, this->snapshot).documents.at(outcome.group)) {
            this->context.counters.counter(documentsName).add();
        }
        this->coverage.answer(outcome.group, outcome.documents);
        this->results.push_back(PartResult { outcome.group, std::move(outcome.body) });
    } else {
        const bool named = outcome.reason != Refusal::None;
        this->coverage.miss(outcome.group, named ? outcome.reason : Refusal::OutcomeUnknown);
        if (outcome.reason == Refusal::SnapshotUnavailable) {
            this->context.snapshots.noteUnavailable(this->spec.pool->id, this->snapshot);
            if (auto restart = this->startAgain()) {
                return std::move(*restart);
            }
        }
    }
    return this->open.empty() ? this->finish(Refusal::None) : Steps();
}

std::optional<Query::Steps> Query::startAgain()
{
    const TimePoint now = this->context.clock.now();
    const Duration needed = this->spec.pool->limits.nominalServiceTime * restartServiceTimes;
    if (this->restarts >= maxRestarts || this->spec.deadline - now < needed) {
        return std::nullopt;
    }
    const auto other = this->context.snapshots.chooseOther(*this->spec.pool, this->tried);
    if (!other || snapshotOf(*this->spec.pool, *other).documents.empty()) {
        return std::nullopt;
    }
    ++this->restarts;
    this->context.counters.counter(restartsName, refusalCode(Refusal::SnapshotUnavailable)).add();
    Steps steps;
    steps.cancel = std::exchange(this->submission, 0);
    this->pin(*other);
    steps.request = this->request(now);
    steps.attempt = this->restarts;
    return steps;
}

void Query::pin(SnapshotVersion version)
{
    const Snapshot &pinned = snapshotOf(*this->spec.pool, version);
    this->snapshot = version;
    this->tried.insert(version);
    // A part that never reports is missing because of the deadline.
    this->coverage = Coverage(pinned, Refusal::DeadlineExceeded);
    this->results.clear();
    this->open.clear();
    for (const auto &[group, documents] : pinned.documents) {
        this->open.insert(group);
    }
}

PartRequest Query::request(TimePoint now) const
{
    PartRequest request;
    request.request = this->spec.request;
    request.organisation = this->spec.organisation;
    request.pool = this->spec.pool->id;
    request.groups.assign(this->open.begin(), this->open.end());
    request.snapshot = this->snapshot;
    request.idempotent = true;
    request.remaining = this->spec.deadline - now;
    request.body = this->spec.body;
    return request;
}

Query::Steps Query::finish(Refusal whenEmpty)
{
    this->finished = true;
    if (whenEmpty == Refusal::Cancelled) {
        for (const GroupId &group : this->open) {
            this->coverage.miss(group, Refusal::Cancelled);
        }
    }
    Steps steps;
    steps.cancel = this->open.empty() ? 0 : std::exchange(this->submission, 0);
    steps.timer = std::move(this->timer);
    steps.done = std::move(this->done);
    QueryAnswer &answer = steps.answer;
    answer.snapshot = this->snapshot;
    answer.coverage = this->coverage;
    answer.results = std::move(this->results);
    answer.trace = std::move(this->trace);
    answer.restarts = this->restarts;
    std::sort(answer.results.begin(), answer.results.end(), [](const PartResult &left, const PartResult &right) {
        return left.group < right.group;
    });
    for (const MissingPart &part : answer.coverage.missing()) {
        this->context.counters.counter(missingName, refusalCode(part.reason)).add();
    }
    if (whenEmpty == Refusal::Cancelled) {
        answer.refusal = Refusal::Cancelled;
    } else if (answer.coverage.shardsAsked() == 0) {
        answer.refusal = this->snapshot == SnapshotVersion() ? whenEmpty : Refusal::None;
    } else if (answer.coverage.shardsAnswered() == 0) {
        answer.refusal = commonReason(answer.coverage);
    }
    if (answer.refusal != Refusal::None) {
        this->context.counters.counter(refusalsName, refusalCode(answer.refusal)).add();
    }
    return steps;
}

void Query::perform(Steps steps)
{
    if (steps.cancel != 0) {
        this->context.router.cancel(steps.cancel);
    }
    if (steps.request) {
        this->send(std::move(*steps.request), steps.attempt);
    }
    if (steps.done) {
        steps.done(std::move(steps.answer));
    }
}

void Query::send(PartRequest request, int attempt)
{
    auto self = this->shared_from_this();
    const std::uint64_t number = this->context.router.submit(
        std::move(request), [self, attempt](PartOutcome outcome) { self->take(attempt, std::move(outcome)); });
    {
        const std::lock_guard lock(this->mutex);
        if (!this->finished && this->restarts == attempt) {
            this->submission = number;
            return;
        }
    }
    // The query ended or started again while the parts were being sent.
    this->context.router.cancel(number);
}

bool Query::drop(const char *reason)
{
    this->context.counters.counter(droppedName, reason).add();
    return false;
}

}
