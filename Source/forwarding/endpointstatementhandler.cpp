#include "forwarding/endpointstatementhandler.h"

#include "core/log.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// A backoff is extended by a random time of up to this, and at most twice the time that the endpoint named.
constexpr Duration maxBackoffSpread = Milliseconds(500);

Log &logger()
{
    static Log &log = Log::component("endpoint");
    return log;
}

std::string describe(const ServiceEndpoint &endpoint)
{
    return "Endpoint " + endpoint.record.id.value() + " of " + endpoint.record.service.value();
}

}

EndpointStatementHandler::EndpointStatementHandler(const Clock &handlerClock,
                                                   Counters &statementCounters,
                                                   Random &randomNumbers)
    : clock(handlerClock)
    , counters(statementCounters)
    , random(randomNumbers)
{
}

void EndpointStatementHandler::apply(ServiceEndpoint &endpoint,
                                     const EndpointStatement &statement,
                                     TimePoint sentAt,
                                     bool hasRun)
{
    for (const std::string &field : statement.malformedFields) {
        this->counters.counter("lycheewall_endpoint_bad_statements_total").add();
        if (endpoint.loggedInvalidFields.insert(field).second) {
            logger().warn(describe(endpoint) + " has sent an invalid value of " + field + "; it is ignored.");
        }
    }
    this->applyRateLimit(endpoint, statement.rateLimit, sentAt);
    if (statement.retryAfter) {
        this->applyRetryAfter(endpoint, *statement.retryAfter);
    } else if (hasRun) {
        this->applyServed(endpoint, sentAt);
    }
    if (statement.isLeaving) {
        this->applyLeaving(endpoint);
    }
}

void EndpointStatementHandler::applyRateLimit(ServiceEndpoint &endpoint,
                                              const RateLimitStatement &statement,
                                              TimePoint sentAt)
{
    switch (endpoint.rateLimit.apply(statement, sentAt, this->clock.now())) {
    case EndpointRateLimit::Change::Began:
        this->counters.counter("lycheewall_endpoint_limits_total").add();
        logger().info(describe(endpoint) + " takes at most " + std::to_string(endpoint.rateLimit.requestsPerSecond())
                      + " requests per second from all instances.");
        return;
    case EndpointRateLimit::Change::Ended:
        logger().info(describe(endpoint) + " names no rate limit any more.");
        return;
    case EndpointRateLimit::Change::None:
        return;
    }
}

void EndpointStatementHandler::applyRetryAfter(ServiceEndpoint &endpoint, Duration retryAfter)
{
    const bool wasActive = endpoint.backoff.isActive();
    // The random part keeps the instances from returning at the same moment.
    const Duration maxSpread = std::min(maxBackoffSpread, retryAfter);
    const Duration spread = fromSeconds(this->random.uniformReal() * fractionalSeconds(maxSpread));
    endpoint.backoff.start(retryAfter + spread, this->clock.now());
    if (!wasActive) {
        this->counters.counter("lycheewall_endpoint_backoffs_total").add();
        logger().info(describe(endpoint) + " wants no requests of this instance for "
                      + std::to_string(toMilliseconds(retryAfter)) + " ms.");
    }
}

void EndpointStatementHandler::applyServed(ServiceEndpoint &endpoint, TimePoint sentAt)
{
    const bool wasActive = endpoint.backoff.isActive();
    endpoint.backoff.requestServed(sentAt);
    if (wasActive && !endpoint.backoff.isActive()) {
        logger().info(describe(endpoint) + " is used as before its backoff.");
    }
}

void EndpointStatementHandler::applyLeaving(ServiceEndpoint &endpoint)
{
    if (endpoint.leaving) {
        return;
    }
    endpoint.leaving = true;
    this->counters.counter("lycheewall_endpoint_leaving_total").add();
    logger().info(describe(endpoint) + " says that it shuts down and gets no new requests.");
}

}
