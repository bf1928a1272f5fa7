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

bool isSuccess(const EndpointAnswer &answer)
{
    return answer.status >= firstSuccess && answer.status < firstRedirect && !answer.stamp.empty();
}

}

std::shared_ptr<ServiceCall>
ServiceCall::start(ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service, Done done)
{
    std::shared_ptr<ServiceCall> call(new ServiceCall(context, request, service, std::move(done)));
    if (!request.attempts) {
        // Otherwise the instance that makes the second attempts counts the request.
        context.budget.noteRequest(service);
    }
    call->begin(Purpose::First);
    return call;
}

std::shared_ptr<ServiceCall> ServiceCall::startRepeat(ForwardingContext &context,
                                                      const AdmittedRequest &request,
                                                      const ServiceId &service,
                                                      const ZoneId &otherZone,
                                                      Done done)
{
    std::shared_ptr<ServiceCall> call(new ServiceCall(context, request, service, std::move(done)));
    call->isRepeat = true;
    call->request.attempts = 1;
    for (const EndpointPtr &endpoint : context.endpoints.ofService(service)) {
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
    const bool isIdempotent = this->request.route->repeatability == Repeatability::Idempotent;
    if (isIdempotent && this->request.mostAttempts() > 1) {
        this->armHedge(hedgeDelay(this->context, this->request));
    }
}

ServiceCall::ServiceCall(ForwardingContext &callContext,
                         const AdmittedRequest &admitted,
                         const ServiceId &target,
                         Done callback)
    : context(callContext)
    , request(admitted)
    , service(target)
    , done(std::move(callback))
    , expected(usualTime(callContext, *admitted.route))
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
    if (fromBudget && !this->context.budget.take(this->service)) {
        this->context.counters.counter("lycheewall_forwarding_repeats_denied_total").add();
        return false;
    }
    const auto attempt = std::make_shared<Attempt>();
    attempt->endpoint = endpoint;
    attempt->fromBudget = fromBudget;
    attempt->startedAt = now;
    attempt->token = endpoint->stats.started(now, EndpointChooser::expectedTime(*endpoint, this->expected, now));
    this->attempts.push_back(attempt);
    this->tried.push_back(endpoint->record.id);
    ++this->sent;
    const bool runsOnce = this->request.route->repeatability == Repeatability::RunsOnce;
    const EndpointCall call { endpoint, this->request.request,  this->request.organisation, this->request.deadline,
                              runsOnce, this->connectionLimit() };
    attempt->call
        = this->context.caller.call(call, [self = this->shared_from_this(), attempt](const CallOutcome &outcome) {
              self->ended(attempt, outcome);
          });
    return true;
}

bool ServiceCall::helps(const ServiceEndpoint &endpoint, TimePoint now) const
{
    const TimePoint objective = this->request.request->arrivedAt + this->request.route->objective - callerWay;
    // Once the objective has passed, any earlier answer helps.
    return now >= objective || now + EndpointChooser::likelyTime(endpoint, this->expected, now) < objective;
}

std::size_t ServiceCall::connectionLimit() const
{
    const ServiceSpec *spec = this->request.table->service(this->service);
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
            this->context.budget.giveBack(this->service);
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
        if (outcome.answer.status >= firstServerError || outcome.answer.stamp.empty()) {
            stats.failed(attempt.token, now);
        } else {
            stats.answered(attempt.token, now);
            this->context.latencies.note(this->request.route->name, now - attempt.startedAt);
        }
        return;
    case CallResult::NotRun:
        stats.refused(attempt.token, now);
        return;
    case CallResult::NotSent:
    case CallResult::Lost:
        stats.failed(attempt.token, now);
        return;
    }
}

bool ServiceCall::decide(const CallOutcome &outcome)
{
    const bool runsOnce = this->request.route->repeatability == Repeatability::RunsOnce;
    switch (outcome.result) {
    case CallResult::Answered: {
        ServiceResult result;
        result.answer = outcome.answer;
        result.success = isSuccess(outcome.answer);
        result.mayHaveRun = true;
        if (result.success || runsOnce || outcome.answer.status < firstServerError) {
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
        if (runsOnce) {
            this->finish(this->last);
            return true;
        }
        return false;
    }
    return false;
}

void ServiceCall::retryOrFinish()
{
    if (this->sent < this->request.mostAttempts() && this->startAttempt(Purpose::Retry)) {
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
    const Done callback = std::move(this->done);
    this->done = nullptr;
    callback(result);
}

void ServiceCall::abandon()
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
        attempt->endpoint->stats.abandoned(attempt->token, now);
        if (attempt->call) {
            attempt->call->release(releaseGrace);
        }
    }
}

Duration ServiceCall::usualTime(const ForwardingContext &context, const Route &route)
{
    return context.latencies.quantile(route.name, typicalShare, route.objective / objectiveParts);
}

Duration ServiceCall::hedgeDelay(const ForwardingContext &context, const AdmittedRequest &request)
{
    const Route &route = *request.route;
    const Duration fallback = route.objective / objectiveParts;
    const Duration earliest = context.latencies.quantile(route.name, earliestHedgeShare, 2 * fallback);
    const Duration answerTime = context.latencies.quantile(route.name, hedgeAnswerShare, 2 * fallback);
    const Duration passed = context.clock.now() - request.request->arrivedAt;
    const Duration latest = route.objective - callerWay - passed - 2 * answerTime;
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
    if (this->finished || this->sent >= this->request.mostAttempts()) {
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
