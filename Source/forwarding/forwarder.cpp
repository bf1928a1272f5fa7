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
    return ForwardReply::refused(refusal, Execution::NotRun, retryAfter);
}

std::shared_ptr<Exchange> Forwarder::forward(const CallerRequestPtr &request, Exchange::ReplyCallback done)
{
    const auto admitted = this->admit(request);
    if (!admitted) {
        const Refusal refusal = admitted.error().reply.refusal();
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
            const bool wasThrottled = reply.refusal() == Refusal::EndpointThrottled;
            if (wasThrottled || reply.isOverloadRejection()) {
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
    const auto matched = this->matchRoute(request);
    if (!matched) {
        return failWith(matched.error());
    }
    AdmittedRequest admitted = matched.value();
    if (const auto refusal = this->checkTime(admitted)) {
        return failWith(*refusal);
    }
    const auto organisation = this->authenticate(*request, *admitted.route);
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

ResultOr<AdmittedRequest, ForwardReply> Forwarder::matchRoute(const CallerRequestPtr &request) const
{
    if (!this->routeTable) {
        return failure(this->makeRefusal(Refusal::NotReady, notReadyRetryAfter));
    }
    const Route *route = this->routeTable->match(request->host, request->target);
    if (route == nullptr) {
        if (this->freshness.age() > this->settings.maxFeedAgeForDenials) {
            return failure(this->makeRefusal(Refusal::StaleConfiguration, notReadyRetryAfter));
        }
        return failure(this->makeRefusal(Refusal::UnknownRoute));
    }
    AdmittedRequest matched;
    matched.request = request;
    matched.table = this->routeTable;
    matched.route = route;
    matched.deadline = std::min(request->deadline, request->arrivedAt + route->timeout);
    return success(matched);
}

std::optional<ForwardReply> Forwarder::checkTime(const AdmittedRequest &request) const
{
    if (request.deadline <= this->context.clock.now()) {
        return this->makeRefusal(Refusal::DeadlineUnreachable);
    }
    if (this->stopTime && !this->canEndBeforeStop(request)) {
        // Another instance takes the request at once.
        return this->makeRefusal(Refusal::ShuttingDown, Duration::zero());
    }
    return std::nullopt;
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

bool Forwarder::needsApiKey(const Route &route) const
{
    return !route.isPublic && this->routeTable->requiresApiKeys();
}

ResultOr<OrganisationId, ForwardReply> Forwarder::authenticate(const CallerRequest &request, const Route &route) const
{
    if (!this->needsApiKey(route)) {
        return success(OrganisationId());
    }
    if (!request.apiKey) {
        return failure(this->makeRefusal(Refusal::KeyMissing));
    }
    return this->acceptKey(this->routeTable->findOrganisationByKey(*request.apiKey));
}

ResultOr<OrganisationId, ForwardReply>
Forwarder::checkOrganisation(const Route &route, const std::optional<OrganisationId> &organisation) const
{
    if (!this->needsApiKey(route)) {
        return success(OrganisationId());
    }
    if (!organisation) {
        return failure(this->makeRefusal(Refusal::KeyMissing));
    }
    const auto known = this->routeTable->organisations().find(*organisation);
    return this->acceptKey(known == this->routeTable->organisations().end() ? nullptr : &known->second);
}

ResultOr<OrganisationId, ForwardReply> Forwarder::acceptKey(const OrganisationSpec *keyOwner) const
{
    if (this->freshness.age() > this->settings.maxFeedAgeForKeys) {
        return failure(this->makeRefusal(Refusal::StaleConfiguration, notReadyRetryAfter));
    }
    if (keyOwner != nullptr) {
        return success(keyOwner->id);
    }
    if (this->freshness.age() > this->settings.maxFeedAgeForDenials) {
        return failure(this->makeRefusal(Refusal::StaleConfiguration, notReadyRetryAfter));
    }
    return failure(this->makeRefusal(Refusal::KeyUnknown));
}

}
