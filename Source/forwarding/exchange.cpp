#include "forwarding/exchange.h"

#include "forwarding/fanoutexchange.h"
#include "forwarding/singleexchange.h"

namespace Lycheewall
{

namespace
{

void logRejection(ForwardingContext &context, const AdmittedRequest &request, const OverloadRejection &rejection)
{
    context.counters.countRefusal(rejection.reason);
    context.counters.counter("lycheewall_overload_rejections_total", refusalCode(rejection.reason)).add();
    context.requestLog.write(*request.request,
                             std::string(refusalCode(rejection.reason)),
                             "route=" + request.route->name + " priority=" + std::to_string(request.priority())
                                 + " wait-ms=" + std::to_string(toMilliseconds(rejection.wait))
                                 + " retry-after-ms=" + std::to_string(toMilliseconds(rejection.retryAfter)));
}

/// Records the latency of a single request when it gets a response, if overload control needs it.
Exchange::ReplyCallback
withLatencyRecord(ForwardingContext &context, const AdmittedRequest &request, Exchange::ReplyCallback done)
{
    if (!context.overloadControl.needsResults(request)) {
        return done;
    }
    return [&context, request, done = std::move(done)](const ForwardReply &reply) {
        if (reply.response()) {
            const TimePoint now = context.clock.now();
            context.overloadControl.recordLatency(request, request.service, now - request.request->arrivedAt, now);
        }
        done(reply);
    };
}

}

std::shared_ptr<Exchange>
startExchange(ForwardingContext &context, const AdmittedRequest &admitted, Exchange::ReplyCallback done)
{
    AdmittedRequest request = admitted;
    const bool isFanout = !request.route->shards.empty();
    if (!isFanout) {
        request.service = context.serviceBalancer.nextService(*request.route);
    }
    if (const auto rejection = context.overloadControl.decide(request, context.clock.now())) {
        logRejection(context, request, *rejection);
        done(ForwardReply::rejectedForOverload(rejection->reason, rejection->retryAfter));
        return nullptr;
    }
    return isFanout ? FanoutExchange::start(context, request, std::move(done))
                    : SingleExchange::start(context, request, withLatencyRecord(context, request, std::move(done)));
}

}
