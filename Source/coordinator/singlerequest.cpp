#include "coordinator/singlerequest.h"

namespace Lycheewall
{

namespace
{

/// Refusals of one group that another group of interchangeable servers may not share.
bool helpsToTryElsewhere(Refusal reason)
{
    switch (reason) {
    case Refusal::EndpointUnavailable:
    case Refusal::EndpointShed:
    case Refusal::EndpointDraining:
    case Refusal::EndpointCold:
    case Refusal::EndpointConnectionCap:
    case Refusal::ZoneDrained:
    case Refusal::QueueFull:
    case Refusal::DeadlineUnreachable:
        return true;
    default:
        return false;
    }
}

}

void SingleRequest::start(const SingleRequestContext &context,
                          CallerRequest request,
                          OrganisationId organisation,
                          std::shared_ptr<const Pool> pool,
                          Done done)
{
    const auto started = std::make_shared<SingleRequest>(
        Private(), context, std::move(request), std::move(organisation), std::move(pool), std::move(done));
    started->tryNext({});
}

SingleRequest::SingleRequest(Private,
                             const SingleRequestContext &requestContext,
                             CallerRequest callerRequest,
                             OrganisationId callerOrganisation,
                             std::shared_ptr<const Pool> requestPool,
                             Done whenDone)
    : context(requestContext)
    , request(std::move(callerRequest))
    , organisation(std::move(callerOrganisation))
    , pool(std::move(requestPool))
    , deadline(requestContext.clock.now() + this->request.deadline)
    , done(std::move(whenDone))
{
}

void SingleRequest::tryNext(PartOutcome last)
{
    const auto group = this->context.groups.choose(*this->pool, this->request.routingKey, this->tried);
    const Duration remaining = this->deadline - this->context.clock.now();
    if (!group || this->tried.size() >= maxGroups || remaining <= Duration::zero()) {
        if (last.reason == Refusal::None) {
            last.outcome = AttemptOutcome::NotRun;
            last.reason = Refusal::DeadlineExceeded;
        }
        this->finish(last);
        return;
    }
    if (!this->tried.empty()) {
        this->context.counters.counter("lycheewall_other_group_retries_total", refusalCode(last.reason)).add();
    }
    this->tried.insert(*group);
    PartRequest part;
    part.request = this->request.id;
    part.organisation = this->organisation;
    part.pool = this->pool->id;
    part.groups = { *group };
    part.idempotent = this->request.idempotent;
    part.remaining = remaining;
    part.body = this->request.body;
    this->context.groups.started(this->pool->id, *group);
    this->context.router.submit(std::move(part),
                                [self = this->shared_from_this()](const PartOutcome &outcome) { self->take(outcome); });
}

void SingleRequest::take(const PartOutcome &outcome)
{
    this->context.groups.finished(this->pool->id, outcome.group);
    PartTrace entry;
    entry.group = outcome.group;
    entry.outcome = outcome.outcome;
    entry.reason = outcome.reason;
    entry.endpoint = outcome.endpoint;
    entry.hedges = outcome.hedges;
    entry.retries = outcome.retries;
    entry.queued = outcome.queued;
    entry.service = outcome.service;
    entry.queueLength = outcome.queueLength;
    this->trace.push_back(entry);
    if (outcome.outcome == AttemptOutcome::NotRun && helpsToTryElsewhere(outcome.reason)) {
        this->tryNext(outcome);
    } else {
        this->finish(outcome);
    }
}

void SingleRequest::finish(const PartOutcome &outcome)
{
    CallerAnswer answer;
    answer.id = this->request.id;
    answer.organisation = this->organisation;
    answer.trace = std::move(this->trace);
    answer.execution = executionOf(outcome.outcome);
    if (outcome.outcome == AttemptOutcome::Answered) {
        answer.results.push_back({ outcome.group, outcome.body });
    } else {
        const bool unknownOutcome = answer.execution == Execution::Unknown && !this->request.idempotent;
        answer.refusal = unknownOutcome ? Refusal::OutcomeUnknown : outcome.reason;
    }
    const Done whenDone = std::move(this->done);
    whenDone(std::move(answer));
}

}
