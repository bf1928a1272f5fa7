#include "forwarding/singleexchange.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/refusalreply.h"

#include <algorithm>

namespace Lycheewall
{

std::shared_ptr<Exchange>
SingleExchange::start(ForwardingContext &context, const AdmittedRequest &request, ReplyCallback done)
{
    const std::shared_ptr<SingleExchange> exchange(new SingleExchange(context, request, std::move(done)));
    const ServiceId &service = request.service;
    if (exchange->refuseIfThrottled(service)) {
        return exchange;
    }
    const auto call
        = ServiceCall::start(context, request, CallTarget(service), [exchange](const ServiceResult &result) {
              exchange->handleResult(result);
          });
    if (exchange->finished) {
        return exchange;
    }
    exchange->call = call;
    const Duration remaining = request.deadline - context.clock.now() - deadlineMargin;
    exchange->deadlineTimer
        = context.timers.after(std::max(remaining, Duration::zero()), [exchange] { exchange->handleDeadline(); });
    return exchange;
}

SingleExchange::SingleExchange(ForwardingContext &exchangeContext, AdmittedRequest admitted, ReplyCallback callback)
    : context(exchangeContext)
    , request(std::move(admitted))
    , done(std::move(callback))
{
}

bool SingleExchange::refuseIfThrottled(const ServiceId &service)
{
    const TimePoint now = this->context.clock.now();
    const ServiceThrottling throttling = this->context.chooser.throttling(service, now);
    if (!throttling.isThrottled) {
        return false;
    }
    const ThrottledDecision decision
        = this->context.throttledAdmission.decide(this->request, { { 0, throttling } }, 0, now);
    if (!decision.waitTime) {
        return false;
    }
    ServiceResult result;
    result.reason = Refusal::EndpointThrottled;
    result.retryAfter = spreadRetryAfter(*decision.waitTime, this->context.random);
    this->reply(makeRefusalReply(result));
    return true;
}

void SingleExchange::handleResult(const ServiceResult &result)
{
    if (!result.response) {
        this->reply(makeRefusalReply(result));
        return;
    }
    const ForwardReply reply = ForwardReply::fromResponse(*result.response, result.execution);
    if (!reply.response()) {
        this->context.counters
            .counter("lycheewall_forwarding_responses_withheld_total", std::to_string(result.response->status))
            .add();
    }
    this->reply(reply);
}

void SingleExchange::handleDeadline()
{
    if (this->finished) {
        return;
    }
    const ServiceResult result = this->call->interimResult();
    if (result.response) {
        this->handleResult(result);
        return;
    }
    this->reply(makeDeadlineReply(result.execution));
}

void SingleExchange::finishEarly()
{
    this->handleDeadline();
}

void SingleExchange::reply(const ForwardReply &reply)
{
    if (this->finished) {
        return;
    }
    if (!reply.response()) {
        this->context.requestLog.write(*this->request.request,
                                       std::string(refusalCode(reply.refusal())),
                                       "route=" + this->request.route->name
                                           + " version=" + std::to_string(this->request.table->version())
                                           + " run=" + std::string(executionName(reply.execution()))
                                           + " attempts=" + (this->call ? this->call->describe() : "none"));
    }
    const ReplyCallback callback = std::move(this->done);
    this->cancel();
    callback(reply);
}

void SingleExchange::cancel()
{
    this->finished = true;
    this->deadlineTimer.reset();
    this->done = nullptr;
    if (this->call) {
        this->call->cancel();
        this->call.reset();
    }
}

}
