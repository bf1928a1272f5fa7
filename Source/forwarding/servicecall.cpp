#include "forwarding/servicecall.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/refusalreply.h"
#include "forwarding/retrypolicy.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// How long an endpoint may take to complete a cancelled request before the connection is closed. Opening a new
/// connection would cost the endpoint more than completing the request.
constexpr Duration cancelGracePeriod = Milliseconds(40);
/// An endpoint with a rate limit gets a hedge only above this fill level: the rate that it takes is for first attempts.
constexpr double minFillLevelForHedge = 0.5;
/// Interval at which a hedge is tried again if no endpoint was suitable or the retry budget was exhausted.
constexpr Duration hedgeRetryInterval = Milliseconds(8);
/// Interval at which a retry is tried again while it waits for the retry budget.
constexpr Duration budgetCheckInterval = Milliseconds(20);
/// Interval at which silent attempts are detected once no hedge can be sent any more.
constexpr Duration silenceCheckInterval = Milliseconds(100);
/// No attempt is sent if less time remains before the deadline.
constexpr Duration minRemainingTime = Milliseconds(2);
/// Keeps rounding errors from costing a connection when, for example, a ninth of 45 connections is computed.
constexpr double roundingTolerance = 1e-9;

}

std::shared_ptr<ServiceCall> ServiceCall::start(ForwardingContext &context,
                                                const AdmittedRequest &request,
                                                const CallTarget &target,
                                                ResultCallback done)
{
    std::shared_ptr<ServiceCall> call(new ServiceCall(context, request, target, std::move(done)));
    // For a relayed request, the requesting instance records the first attempt because it makes the extra ones.
    if (!request.attemptLimit) {
        recordFirstAttempt(context, target);
    }
    call->startFirstAttempt(AttemptKind::First);
    return call;
}

std::shared_ptr<ServiceCall> ServiceCall::startHedge(ForwardingContext &context,
                                                     const AdmittedRequest &request,
                                                     const CallTarget &target,
                                                     const ZoneId &otherZone,
                                                     ResultCallback done)
{
    std::shared_ptr<ServiceCall> call(new ServiceCall(context, request, target, std::move(done)));
    call->isHedge = true;
    call->request.attemptLimit = 1;
    for (const EndpointPtr &endpoint : context.endpoints.endpointsOf(target.service)) {
        if (endpoint->record.zone == otherZone) {
            call->otherZoneEndpoints.push_back(endpoint->record.id);
        }
    }
    call->startFirstAttempt(AttemptKind::Hedge);
    return call;
}

void ServiceCall::recordFirstAttempt(ForwardingContext &context, const CallTarget &target)
{
    if (!target.attempts->isFirstRecorded) {
        target.attempts->isFirstRecorded = true;
        context.retryBudget.recordFirstAttempt(target.service);
    }
}

void ServiceCall::takeOverAttempts()
{
    if (this->finished) {
        return;
    }
    this->isHedge = false;
    this->request.attemptLimit.reset();
    this->otherZoneEndpoints.clear();
    this->startChecks();
}

void ServiceCall::startFirstAttempt(AttemptKind kind)
{
    if (this->startAttempt(kind) != StartResult::Started) {
        this->finishWithoutResponse();
        return;
    }
    this->startChecks();
}

void ServiceCall::finishWithoutResponse()
{
    this->lastResult = this->interimResult();
    if (this->lastResult.execution == Execution::NotRun) {
        const Duration wait = this->context.chooser.throttling(this->service, this->context.clock.now()).waitTime;
        if (wait > Duration::zero()) {
            this->lastResult.reason = Refusal::EndpointThrottled;
            this->lastResult.retryAfter = spreadRetryAfter(wait, this->context.random);
        } else if (this->lastResult.reason == Refusal::None) {
            this->lastResult.reason = Refusal::EndpointUnavailable;
        }
    }
    this->finish(this->lastResult);
}

bool ServiceCall::isIdempotent() const
{
    return this->request.route->idempotency == Idempotency::Idempotent;
}

void ServiceCall::startChecks()
{
    if (this->isIdempotent()) {
        this->scheduleCheck(hedgeDelay(this->context, this->request));
    }
}

ServiceCall::ServiceCall(ForwardingContext &callContext,
                         const AdmittedRequest &admitted,
                         const CallTarget &target,
                         ResultCallback callback)
    : context(callContext)
    , request(admitted)
    , service(target.service)
    , done(std::move(callback))
    , expectedLatency(typicalAttemptLatency(callContext, *admitted.route))
    , history(target.attempts)
{
}

std::vector<EndpointId> ServiceCall::excludedEndpoints() const
{
    std::vector<EndpointId> excluded = this->history->endpoints;
    excluded.insert(excluded.end(), this->otherZoneEndpoints.begin(), this->otherZoneEndpoints.end());
    return excluded;
}

ServiceCall::StartResult ServiceCall::startAttempt(AttemptKind kind)
{
    const TimePoint now = this->context.clock.now();
    if (this->request.deadline - now < minRemainingTime || this->history->sent >= this->request.maxAttempts()) {
        return StartResult::Impossible;
    }
    const double minFillLevel = kind == AttemptKind::Hedge ? minFillLevelForHedge : 0;
    const EndpointPtr endpoint = this->context.chooser.choose(
        { this->service, this->expectedLatency, this->excludedEndpoints(), minFillLevel }, now);
    if (!endpoint) {
        return StartResult::Impossible;
    }
    if (kind == AttemptKind::Hedge && !this->isHedgeUseful(*endpoint, now)) {
        return StartResult::Impossible;
    }
    const bool usesBudget = this->history->sent > 0 || this->isHedge;
    const ExtraAttempt extraAttempt = kind == AttemptKind::Hedge ? ExtraAttempt::Hedge : ExtraAttempt::Retry;
    if (usesBudget && !this->context.retryBudget.tryAcquire(this->service, extraAttempt)) {
        this->context.counters.counter("lycheewall_forwarding_repeats_denied_total").add();
        return StartResult::BudgetExhausted;
    }
    this->sendAttempt(endpoint, usesBudget, now);
    return StartResult::Started;
}

void ServiceCall::sendAttempt(const EndpointPtr &endpoint, bool usesBudget, TimePoint now)
{
    const auto attempt = std::make_shared<ServiceAttempt>();
    endpoint->rateLimit.take(this->context.endpoints.rateLimitShare(), now);
    attempt->endpoint = endpoint;
    attempt->usesBudget = usesBudget;
    attempt->startedAt = now;
    attempt->token
        = endpoint->stats.requestStarted(now, EndpointChooser::nominalLatency(*endpoint, this->expectedLatency, now));
    this->attempts.push_back(attempt);
    this->history->endpoints.push_back(endpoint->record.id);
    ++this->history->sent;
    const bool nonIdempotent = !this->isIdempotent();
    const EndpointCall call { endpoint,
                              this->request.request,
                              this->request.organisation,
                              this->request.deadline,
                              nonIdempotent,
                              connectionLimit(this->context, *this->request.table, this->service) };
    attempt->call = this->context.endpointSender.send(
        call, [self = this->shared_from_this(), attempt](const CallOutcome &outcome) {
            self->handleOutcome(attempt, outcome);
        });
}

bool ServiceCall::isHedgeUseful(const ServiceEndpoint &endpoint, TimePoint now) const
{
    const TimePoint objective
        = this->request.request->arrivedAt + this->request.route->latencyObjective - callerRoundTrip;
    // Once the objective has passed, an earlier response is always useful.
    return now >= objective
        || now + EndpointChooser::estimatedLatency(endpoint, this->expectedLatency, now) < objective;
}

std::size_t
ServiceCall::connectionLimit(const ForwardingContext &context, const RouteTable &table, const ServiceId &service)
{
    const ServiceSpec *spec = table.findService(service);
    const double fleetLimit = spec == nullptr ? 0 : spec->maxConnections;
    return static_cast<std::size_t>(std::max(1.0, fleetLimit * context.endpoints.fleetShare() + roundingTolerance));
}

void ServiceCall::handleOutcome(const ServiceAttemptPtr &attempt, const CallOutcome &outcome)
{
    if (attempt->ended) {
        return;
    }
    attempt->ended = true;
    attempt->result = outcome.result;
    attempt->status = outcome.response.status;
    const TimePoint now = this->context.clock.now();
    attempt->recordOutcome(outcome, now);
    if (outcome.result == CallResult::Answered && !isFailure(outcome.response)) {
        this->context.latencies.record(this->request.route->name, now - attempt->startedAt);
    }
    if (this->finished) {
        return;
    }
    if (outcome.result == CallResult::NotSent) {
        --this->history->sent;
        if (attempt->usesBudget) {
            this->context.retryBudget.refund(this->service);
        }
    }
    if (!this->finishIfConclusive(outcome)) {
        this->retryOrFinish();
    }
}

bool ServiceCall::finishIfConclusive(const CallOutcome &outcome)
{
    const bool nonIdempotent = !this->isIdempotent();
    switch (outcome.result) {
    case CallResult::Answered: {
        ServiceResult result;
        result.success = isSuccess(outcome.response);
        result.execution = combined(this->lastResult.execution, outcome.execution());
        // The failure response of a shard is not passed on, and would be kept until the end of its query.
        if (result.success || this->request.route->shards.empty()) {
            result.response = outcome.response;
        }
        if (result.success || nonIdempotent || !isRetryable(outcome.response)) {
            this->finish(result);
            return true;
        }
        this->lastResult = result;
        return false;
    }
    case CallResult::NotRun:
        this->lastResult.reason
            = this->lastResult.reason == Refusal::None ? Refusal::EndpointShed : this->lastResult.reason;
        return false;
    case CallResult::NotSent:
        this->lastResult.reason
            = this->lastResult.reason == Refusal::None ? Refusal::EndpointUnavailable : this->lastResult.reason;
        return false;
    case CallResult::Lost:
        this->lastResult.execution = combined(this->lastResult.execution, outcome.execution());
        this->lastResult.reason = Refusal::ConnectionLost;
        if (nonIdempotent) {
            this->finish(this->lastResult);
            return true;
        }
        return false;
    }
    return false;
}

void ServiceCall::retryOrFinish()
{
    const StartResult result = this->startAttempt(AttemptKind::Retry);
    if (result == StartResult::Started) {
        this->context.counters.counter("lycheewall_forwarding_retries_total", refusalCode(this->lastResult.reason))
            .add();
        this->budgetWait.reset();
        this->startChecks();
        return;
    }
    if (this->isResponsePossible()) {
        this->budgetWait.reset();
        return;
    }
    if (result == StartResult::BudgetExhausted && this->waitForBudget()) {
        this->scheduleCheck(budgetCheckInterval);
        return;
    }
    if (this->hasAttemptInFlight()) {
        this->context.counters.counter("lycheewall_forwarding_gone_endpoints_total").add();
    }
    this->finishWithoutResponse();
}

bool ServiceCall::waitForBudget()
{
    const TimePoint now = this->context.clock.now();
    if (this->budgetWait) {
        return now < this->budgetWait->until;
    }
    if (!this->isIdempotent()) {
        return false;
    }
    const Execution execution = this->interimResult().execution;
    const Duration limit = retryBudgetWaitLimit(this->request, this->expectedLatency, execution, now);
    if (this->context.retryBudget.expectedWait(this->service) > limit) {
        return false;
    }
    this->budgetWait = BudgetWait { now + limit, this->context.retryBudget.addWaitingRetry(this->service) };
    this->context.counters.counter("lycheewall_forwarding_budget_waits_total").add();
    return true;
}

template<typename Predicate> bool ServiceCall::hasAttemptInFlight(Predicate predicate) const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [&predicate](const ServiceAttemptPtr &attempt) {
        return !attempt->ended && predicate(*attempt);
    });
}

bool ServiceCall::hasAttemptInFlight() const
{
    return this->hasAttemptInFlight([](const ServiceAttempt &) { return true; });
}

bool ServiceCall::isResponsePlausible() const
{
    const TimePoint now = this->context.clock.now();
    const Duration limit = implausibleLatency(this->context.latencies, *this->request.route);
    return this->hasAttemptInFlight([limit, now](const ServiceAttempt &attempt) {
        return !attempt.isSilent(limit, now) && !attempt.isGone(limit, now);
    });
}

bool ServiceCall::isResponsePossible() const
{
    const TimePoint now = this->context.clock.now();
    const Duration limit = implausibleLatency(this->context.latencies, *this->request.route);
    return this->hasAttemptInFlight(
        [limit, now](const ServiceAttempt &attempt) { return !attempt.isGone(limit, now); });
}

void ServiceCall::finish(const ServiceResult &result)
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    this->checkTimer.reset();
    this->budgetWait.reset();
    this->cancelAttempts();
    const ResultCallback callback = std::move(this->done);
    this->done = nullptr;
    callback(result);
}

void ServiceCall::cancel()
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    this->checkTimer.reset();
    this->budgetWait.reset();
    this->done = nullptr;
    this->cancelAttempts();
}

ServiceResult ServiceCall::interimResult() const
{
    ServiceResult result = this->lastResult;
    for (const ServiceAttemptPtr &attempt : this->attempts) {
        if (attempt->mayBeRunning()) {
            result.execution = combined(result.execution, Execution::Unknown);
        }
    }
    return result;
}

bool ServiceCall::isFinished() const
{
    return this->finished;
}

std::string ServiceCall::describe() const
{
    const TimePoint now = this->context.clock.now();
    std::string text = this->service.value() + ':';
    for (const ServiceAttemptPtr &attempt : this->attempts) {
        text += attempt->describe(now) + ',';
    }
    if (this->budgetWait) {
        text += "awaits-retry-budget,";
    }
    return text;
}

void ServiceCall::cancelAttempts()
{
    const TimePoint now = this->context.clock.now();
    for (const ServiceAttemptPtr &attempt : this->attempts) {
        attempt->cancel(now, cancelGracePeriod);
    }
}

void ServiceCall::scheduleCheck(Duration delay)
{
    if (this->context.clock.now() + delay >= this->request.deadline) {
        return;
    }
    this->checkTimer = this->context.timers.after(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check();
        }
    });
}

Duration ServiceCall::checkInterval() const
{
    if (this->budgetWait) {
        return budgetCheckInterval;
    }
    const bool canHedge = !this->hedgeSent && this->history->sent < this->request.maxAttempts();
    return canHedge ? hedgeRetryInterval : silenceCheckInterval;
}

void ServiceCall::check()
{
    if (this->finished) {
        return;
    }
    this->checkTimer.reset();
    for (const ServiceAttemptPtr &attempt : this->attempts) {
        attempt->observeRegistration(this->context.endpoints, this->context.clock.now());
    }
    if (this->isResponsePlausible()) {
        this->budgetWait.reset();
        this->tryHedge();
    } else {
        this->retryOrFinish();
    }
    if (!this->finished && !this->checkTimer) {
        this->scheduleCheck(this->checkInterval());
    }
}

void ServiceCall::tryHedge()
{
    if (this->hedgeSent || this->context.overloadControl.holdsBackHedge(this->request, this->context.clock.now())) {
        return;
    }
    if (this->startAttempt(AttemptKind::Hedge) == StartResult::Started) {
        this->hedgeSent = true;
        this->context.counters.counter("lycheewall_forwarding_hedges_total").add();
    }
}

}
