#include "forwarding/forwarder.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Retry-after time of refusals for missing or stale feed data. By then the caller reaches another instance, or this
/// one has fresher data.
constexpr Duration notReadyRetryAfter = Milliseconds(200);
/// An instance that shuts down accepts an idempotent request if this multiple of its latency objective is left. Nearly
/// all of them end sooner, and the caller can repeat the others.
constexpr int objectivesBeforeStop = 2;

}

Forwarder::Forwarder(const ForwarderSettings &forwarderSettings,
                     ForwardingContext &forwardingContext,
                     const FeedFreshness &feedFreshness)
    : settings(forwarderSettings)
    , context(forwardingContext)
    , freshness(feedFreshness)
{
}

void Forwarder::setSettings(const ForwarderSettings &newSettings)
{
    this->settings = newSettings;
}

void Forwarder::setStopTime(TimePoint time)
{
    this->stopTime = time;
}

void Forwarder::setTable(std::shared_ptr<const RouteTable> table)
{
    this->routeTable = std::move(table);
}

const std::shared_ptr<const RouteTable> &Forwarder::table() const
{
    return this->routeTable;
}

CallerLimits Forwarder::callerLimits() const
{
    return this->routeTable ? this->routeTable->limits() : CallerLimits();
}

ForwardReply Forwarder::makeRefusal(Refusal refusal, std::optional<Duration> retryAfter) const
{
    ForwardReply reply;
    reply.refusal = refusal;
    reply.notRun = true;
    reply.retryAfter = retryAfter;
    return reply;
}

std::shared_ptr<Exchange> Forwarder::forward(const CallerRequestPtr &request, Exchange::ReplyCallback done)
{
    const auto admitted = this->admit(request);
    if (!admitted) {
        const Refusal refusal = admitted.error().reply.refusal;
        this->context.counters.countRefusal(refusal);
        const Duration age = this->freshness.age();
        this->context.requestLog.write(
            *request,
            std::string(refusalCode(refusal)),
            "version=" + (this->routeTable ? std::to_string(this->routeTable->version()) : std::string("none"))
                + " feed-age-ms=" + (age == Duration::max() ? std::string("none") : std::to_string(toMilliseconds(age)))
                + admitted.error().detail);
        done(admitted.error().reply);
        return nullptr;
    }
    this->admittedRate.record(this->context.clock.now());
    return startExchange(
        this->context,
        admitted.value(),
        [this, organisation = admitted.value().organisation, done = std::move(done)](const ForwardReply &reply) {
            // The caller will retry, and the organisation's rate counts the requests that endpoints get.
            const bool wasThrottled = reply.refusal == Refusal::EndpointThrottled;
            if (reply.notRun && (wasThrottled || reply.isOverloadRejection)) {
                this->context.quota.refund(organisation);
            }
            done(reply);
        });
}

const RequestRate &Forwarder::requestRate() const
{
    return this->admittedRate;
}

ResultOr<AdmittedRequest, Forwarder::RefusalWithDetail> Forwarder::admit(const CallerRequestPtr &request)
{
    const auto failWith = [](const ForwardReply &reply, std::string detail = "") {
        return failure(RefusalWithDetail { reply, std::move(detail) });
    };
    if (!this->routeTable) {
        return failWith(this->makeRefusal(Refusal::NotReady, notReadyRetryAfter));
    }
    const Route *route = this->routeTable->match(request->host, request->target);
    if (route == nullptr) {
        if (this->freshness.age() > this->settings.maxFeedAgeForDenials) {
            return failWith(this->makeRefusal(Refusal::StaleConfiguration, notReadyRetryAfter));
        }
        return failWith(this->makeRefusal(Refusal::UnknownRoute));
    }
    AdmittedRequest admitted;
    admitted.request = request;
    admitted.table = this->routeTable;
    admitted.route = route;
    admitted.deadline = std::min(request->deadline, request->arrivedAt + route->timeout);
    if (admitted.deadline <= this->context.clock.now()) {
        return failWith(this->makeRefusal(Refusal::DeadlineUnreachable));
    }
    if (this->stopTime && !this->canEndBeforeStop(admitted)) {
        // Another instance takes the request at once.
        return failWith(this->makeRefusal(Refusal::ShuttingDown, Duration::zero()));
    }
    const auto organisation = this->authenticate(*request, *route);
    if (!organisation) {
        return failWith(organisation.error());
    }
    admitted.organisation = organisation.value();
    if (const auto wait = this->context.quota.throttle(admitted.organisation)) {
        return failWith(this->makeRefusal(Refusal::RateExceeded, wait),
                        " organisation=" + admitted.organisation.value()
                            + " wait-ms=" + std::to_string(toMilliseconds(*wait)));
    }
    return success(admitted);
}

bool Forwarder::canEndBeforeStop(const AdmittedRequest &request) const
{
    const TimePoint now = this->context.clock.now();
    Duration timeNeeded = request.deadline - now;
    if (request.route->idempotency == Idempotency::Idempotent) {
        timeNeeded = std::min(timeNeeded, objectivesBeforeStop * request.route->latencyObjective);
    }
    return now + timeNeeded <= *this->stopTime;
}

ResultOr<OrganisationId, ForwardReply> Forwarder::authenticate(const CallerRequest &request, const Route &route)
{
    if (route.isPublic || !this->routeTable->requiresApiKeys()) {
        return success(OrganisationId());
    }
    if (!request.apiKey) {
        return failure(this->makeRefusal(Refusal::KeyMissing));
    }
    if (this->freshness.age() > this->settings.maxFeedAgeForKeys) {
        return failure(this->makeRefusal(Refusal::StaleConfiguration, notReadyRetryAfter));
    }
    const OrganisationSpec *organisation = this->routeTable->findOrganisationByKey(*request.apiKey);
    if (organisation != nullptr) {
        return success(organisation->id);
    }
    if (this->freshness.age() > this->settings.maxFeedAgeForDenials) {
        return failure(this->makeRefusal(Refusal::StaleConfiguration, notReadyRetryAfter));
    }
    return failure(this->makeRefusal(Refusal::KeyUnknown));
}

}
