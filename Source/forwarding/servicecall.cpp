#include "forwarding/servicecall.h"

#include "forwarding/forwardingtimes.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// How long an endpoint may finish work that is not needed any more; a new connection would cost it more.
constexpr Duration releaseGrace = Milliseconds(40);
/// The usual time of a request is the median of the latency; without measurements, this part of the objective.
constexpr double typicalShare = 0.5;
constexpr int objectiveParts = 8;
/// A hedge is sent at the earliest when this share of the answers has usually arrived.
constexpr double earliestHedgeShare = 0.9;
/// Share of answers that a hedge leaves time for, before the objective.
constexpr double hedgeAnswerShare = 0.95;
/// Pause before another try to hedge when no endpoint or budget was free.
constexpr Duration hedgePause = Milliseconds(8);
/// Nothing is sent when less time is left.
constexpr Duration leastTime = Milliseconds(2);
/// Keeps a share such as a ninth of 45 connections from being rounded down to one less.
constexpr double roundingTolerance = 1e-9;
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;

const char *nameOf(CallResult result)
{
    switch (result) {
    case CallResult::Answered:
        return "answered";
    case CallResult::NotRun:
        return "not-run";
    case CallResult::NotSent:
        return "not-sent";
    case CallResult::Lost:
        return "lost";
    }
    return "unknown";
}

bool isSuccess(const EndpointResponse &answer)
{
    return answer.status >= firstSuccess && answer.status < firstRedirect && !answer.signature.empty();
}

}

std::shared_ptr<ServiceCall> ServiceCall::start(ForwardingContext &context,
                                                const AdmittedRequest &request,
                                                const ServiceId &service,
                                                ResultCallback done)
{
    std::shared_ptr<ServiceCall> call(new ServiceCall(context, request, service, std::move(done)));
    if (!request.attemptLimit) {
        // Otherwise the instance that makes the second attempts counts the request.
        context.retryBudget.recordFirstAttempt(service);
    }
    call->begin(Purpose::First);
    return call;
}

std::shared_ptr<ServiceCall> ServiceCall::startHedge(ForwardingContext &context,
                                                     const AdmittedRequest &request,
                                                     const ServiceId &service,
                                                     const ZoneId &otherZone,
                                                     ResultCallback done)
{
    std::shared_ptr<ServiceCall> call(new ServiceCall(context, request, service, std::move(done)));
    call->isRepeat = true;
    call->request.attemptLimit = 1;
    for (const EndpointPtr &endpoint : context.endpoints.endpointsOf(service)) {
        if (endpoint->record.zone == otherZone) {
            call->tried.push_back(endpoint->record.id);
        }
    }
    call->begin(Purpose::Hedge);
    return call;
}

void ServiceCall::begin(Purpose purpose)
{
    if (!this->startAttempt(purpose)) {
        this->last.reason = Refusal::EndpointUnavailable;
        this->finish(this->last);
        return;
    }
    const bool isIdempotent = this->request.route->idempotency == Idempotency::Idempotent;
    if (isIdempotent && this->request.maxAttempts() > 1) {
        this->armHedge(hedgeDelay(this->context, this->request));
    }
}

ServiceCall::ServiceCall(ForwardingContext &callContext,
                         const AdmittedRequest &admitted,
                         const ServiceId &target,
                         ResultCallback callback)
    : context(callContext)
    , request(admitted)
    , service(target)
    , done(std::move(callback))
    , expected(typicalLatency(callContext, *admitted.route))
{
}

bool ServiceCall::startAttempt(Purpose purpose)
{
    const TimePoint now = this->context.clock.now();
    if (this->request.deadline - now < leastTime) {
        return false;
    }
    const EndpointPtr endpoint = this->context.chooser.choose({ this->service, this->expected, this->tried }, now);
    if (!endpoint) {
        return false;
    }
    if (purpose == Purpose::Hedge && !this->helps(*endpoint, now)) {
        return false;
    }
    const bool fromBudget = this->sent > 0 || this->isRepeat;
    if (fromBudget && !this->context.retryBudget.tryAcquire(this->service)) {
        this->context.counters.counter("lycheewall_forwarding_repeats_denied_total").add();
        return false;
    }
    const auto attempt = std::make_shared<Attempt>();
    attempt->endpoint = endpoint;
    attempt->fromBudget = fromBudget;
    attempt->startedAt = now;
    attempt->token
        = endpoint->stats.requestStarted(now, EndpointChooser::nominalLatency(*endpoint, this->expected, now));
    this->attempts.push_back(attempt);
    this->tried.push_back(endpoint->record.id);
    ++this->sent;
    const bool nonIdempotent = this->request.route->idempotency == Idempotency::NonIdempotent;
    const EndpointCall call { endpoint,      this->request.request,  this->request.organisation, this->request.deadline,
                              nonIdempotent, this->connectionLimit() };
    attempt->call = this->context.endpointSender.send(
        call,
        [self = this->shared_from_this(), attempt](const CallOutcome &outcome) { self->ended(attempt, outcome); });
    return true;
}

bool ServiceCall::helps(const ServiceEndpoint &endpoint, TimePoint now) const
{
    const TimePoint objective
        = this->request.request->arrivedAt + this->request.route->latencyObjective - callerRoundTrip;
    // Once the objective has passed, any earlier answer helps.
    return now >= objective || now + EndpointChooser::estimatedLatency(endpoint, this->expected, now) < objective;
}

std::size_t ServiceCall::connectionLimit() const
{
    const ServiceSpec *spec = this->request.table->findService(this->service);
    const double all = spec == nullptr ? 0 : spec->maxConnections;
    return static_cast<std::size_t>(std::max(1.0, all * this->context.fleetShare + roundingTolerance));
}

void ServiceCall::ended(const AttemptPtr &attempt, const CallOutcome &outcome)
{
    if (attempt->ended) {
        return;
    }
    attempt->ended = true;
    attempt->result = outcome.result;
    this->noteStats(*attempt, outcome);
    if (this->finished) {
        return;
    }
    if (outcome.result == CallResult::NotSent) {
        --this->sent;
        if (attempt->fromBudget) {
            this->context.retryBudget.refund(this->service);
        }
    }
    if (!this->decide(outcome)) {
        this->retryOrFinish();
    }
}

void ServiceCall::noteStats(const Attempt &attempt, const CallOutcome &outcome)
{
    const TimePoint now = this->context.clock.now();
    EndpointStats &stats = attempt.endpoint->stats;
    switch (outcome.result) {
    case CallResult::Answered:
        if (outcome.response.status >= firstServerError || outcome.response.signature.empty()) {
            stats.requestFailed(attempt.token, now);
        } else {
            stats.requestSucceeded(attempt.token, now);
            this->context.latencies.record(this->request.route->name, now - attempt.startedAt);
        }
        return;
    case CallResult::NotRun:
        stats.requestRejected(attempt.token, now);
        return;
    case CallResult::NotSent:
    case CallResult::Lost:
        stats.requestFailed(attempt.token, now);
        return;
    }
}

bool ServiceCall::decide(const CallOutcome &outcome)
{
    const bool nonIdempotent = this->request.route->idempotency == Idempotency::NonIdempotent;
    switch (outcome.result) {
    case CallResult::Answered: {
        ServiceResult result;
        result.response = outcome.response;
        result.success = isSuccess(outcome.response);
        result.mayHaveRun = true;
        if (result.success || nonIdempotent || outcome.response.status < firstServerError) {
            this->finish(result);
            return true;
        }
        this->last = result;
        return false;
    }
    case CallResult::NotRun:
        this->last.reason = this->last.reason == Refusal::None ? Refusal::EndpointShed : this->last.reason;
        return false;
    case CallResult::NotSent:
        this->last.reason = this->last.reason == Refusal::None ? Refusal::EndpointUnavailable : this->last.reason;
        return false;
    case CallResult::Lost:
        this->last.mayHaveRun = true;
        this->last.reason = Refusal::ConnectionLost;
        if (nonIdempotent) {
            this->finish(this->last);
            return true;
        }
        return false;
    }
    return false;
}

void ServiceCall::retryOrFinish()
{
    if (this->sent < this->request.maxAttempts() && this->startAttempt(Purpose::Retry)) {
        this->context.counters.counter("lycheewall_forwarding_retries_total", refusalCode(this->last.reason)).add();
        return;
    }
    if (!this->anyInFlight()) {
        this->finish(this->last);
    }
}

bool ServiceCall::anyInFlight() const
{
    return std::any_of(
        this->attempts.begin(), this->attempts.end(), [](const AttemptPtr &attempt) { return !attempt->ended; });
}

void ServiceCall::finish(const ServiceResult &result)
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    this->hedgeTimer.reset();
    this->releaseAll();
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
    this->hedgeTimer.reset();
    this->done = nullptr;
    this->releaseAll();
}

bool ServiceCall::isFinished() const
{
    return this->finished;
}

bool ServiceCall::hasSent() const
{
    return this->sent > 0;
}

std::string ServiceCall::describe() const
{
    const TimePoint now = this->context.clock.now();
    std::string text = this->service.value() + ':';
    for (const AttemptPtr &attempt : this->attempts) {
        text += attempt->endpoint->record.id.value() + '/' + std::to_string(toMilliseconds(now - attempt->startedAt))
            + '/' + (attempt->ended ? nameOf(attempt->result) : "waiting") + ',';
    }
    return text;
}

void ServiceCall::releaseAll()
{
    const TimePoint now = this->context.clock.now();
    for (const AttemptPtr &attempt : this->attempts) {
        if (attempt->ended) {
            continue;
        }
        attempt->ended = true;
        attempt->endpoint->stats.requestCancelled(attempt->token, now);
        if (attempt->call) {
            attempt->call->cancel(releaseGrace);
        }
    }
}

Duration ServiceCall::typicalLatency(const ForwardingContext &context, const Route &route)
{
    return context.latencies.quantile(route.name, typicalShare, route.latencyObjective / objectiveParts);
}

Duration ServiceCall::hedgeDelay(const ForwardingContext &context, const AdmittedRequest &request)
{
    const Route &route = *request.route;
    const Duration fallback = route.latencyObjective / objectiveParts;
    const Duration earliest = context.latencies.quantile(route.name, earliestHedgeShare, 2 * fallback);
    const Duration answerTime = context.latencies.quantile(route.name, hedgeAnswerShare, 2 * fallback);
    const Duration passed = context.clock.now() - request.request->arrivedAt;
    const Duration latest = route.latencyObjective - callerRoundTrip - passed - 2 * answerTime;
    return std::max(earliest, latest);
}

void ServiceCall::armHedge(Duration delay)
{
    this->hedgeTimer = this->context.timers.after(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->hedge();
        }
    });
}

void ServiceCall::hedge()
{
    if (this->finished || this->sent >= this->request.maxAttempts()) {
        return;
    }
    if (this->startAttempt(Purpose::Hedge)) {
        this->context.counters.counter("lycheewall_forwarding_hedges_total").add();
        return;
    }
    if (this->context.clock.now() + hedgePause < this->request.deadline) {
        this->armHedge(hedgePause);
    }
}

}
