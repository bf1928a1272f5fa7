#include "forwarding/forwarder.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// A caller that is told to come back finds another instance, or this one with newer knowledge.
constexpr Duration notReadyPause = Milliseconds(200);

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

void Forwarder::setTable(std::shared_ptr<const RouteTable> table)
{
    this->current = std::move(table);
}

const std::shared_ptr<const RouteTable> &Forwarder::table() const
{
    return this->current;
}

ForwardReply Forwarder::refuse(Refusal refusal, std::optional<Duration> retryAfter) const
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
            "version=" + (this->current ? std::to_string(this->current->version()) : std::string("none"))
                + " feed-age-ms=" + (age == Duration::max() ? std::string("none") : std::to_string(toMilliseconds(age)))
                + admitted.error().detail);
        done(admitted.error().reply);
        return nullptr;
    }
    return startExchange(this->context, admitted.value(), std::move(done));
}

ResultOr<AdmittedRequest, Forwarder::Denial> Forwarder::admit(const CallerRequestPtr &request)
{
    const auto deny = [](const ForwardReply &reply, std::string detail = "") {
        return failure(Denial { reply, std::move(detail) });
    };
    if (!this->current) {
        return deny(this->refuse(Refusal::NotReady, notReadyPause));
    }
    const Route *route = this->current->match(request->host, request->target);
    if (route == nullptr) {
        if (this->freshness.age() > this->settings.maxFeedAgeForDenials) {
            return deny(this->refuse(Refusal::StaleConfiguration, notReadyPause));
        }
        return deny(this->refuse(Refusal::UnknownRoute));
    }
    AdmittedRequest admitted;
    admitted.request = request;
    admitted.table = this->current;
    admitted.route = route;
    admitted.deadline = std::min(request->deadline, request->arrivedAt + route->timeout);
    if (admitted.deadline <= this->context.clock.now()) {
        return deny(this->refuse(Refusal::DeadlineUnreachable));
    }
    const auto organisation = this->identify(*request, *route);
    if (!organisation) {
        return deny(organisation.error());
    }
    admitted.organisation = organisation.value();
    if (const auto wait = this->context.quota.throttle(admitted.organisation)) {
        return deny(this->refuse(Refusal::RateExceeded, wait),
                    " organisation=" + admitted.organisation.value()
                        + " wait-ms=" + std::to_string(toMilliseconds(*wait)));
    }
    return success(admitted);
}

ResultOr<OrganisationId, ForwardReply> Forwarder::identify(const CallerRequest &request, const Route &route)
{
    if (route.isPublic || this->current->organisations().empty()) {
        return success(OrganisationId());
    }
    if (!request.apiKey) {
        return failure(this->refuse(Refusal::KeyMissing));
    }
    if (this->freshness.age() > this->settings.maxFeedAgeForKeys) {
        return failure(this->refuse(Refusal::StaleConfiguration, notReadyPause));
    }
    const OrganisationSpec *organisation = this->current->findOrganisationByKey(*request.apiKey);
    if (organisation != nullptr) {
        return success(organisation->id);
    }
    if (this->freshness.age() > this->settings.maxFeedAgeForDenials) {
        return failure(this->refuse(Refusal::StaleConfiguration, notReadyPause));
    }
    return failure(this->refuse(Refusal::KeyUnknown));
}

}
