#include "forwarding/throttledadmission.h"

#include "forwarding/forwardingcontext.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// A priority, or an organisation, competes for the tokens for this time after its last request.
constexpr Duration competingTime = std::chrono::seconds(2);
/// Fractions of the tokens that are left to more urgent requests, and to organisations within their fair share.
constexpr double urgentReserve = 0.2;
constexpr double fairShareReserve = 0.1;

/// Decides on a request that has to leave @p reserve of the tokens to others.
ThrottledDecision decideWithReserve(const ThrottledServices &services, std::size_t omittable, double reserve)
{
    ThrottledDecision decision;
    for (const auto &[index, throttling] : services) {
        const Duration wait = throttling.waitTimeFor(reserve);
        if (wait > Duration::zero()) {
            decision.exhausted.emplace(wait, index);
        }
    }
    if (decision.exhausted.size() > omittable) {
        const auto lastNeeded = std::next(decision.exhausted.begin(),
                                          static_cast<std::ptrdiff_t>(decision.exhausted.size() - omittable - 1));
        decision.waitTime = lastNeeded->first;
    }
    return decision;
}

}

ThrottledDecision ThrottledAdmission::decide(const AdmittedRequest &request,
                                             const ThrottledServices &services,
                                             std::size_t omittable,
                                             TimePoint now)
{
    const OrganisationSpec *organisation = request.organisationSpec();
    const double reserve = this->reserveForOthers(request.priority(), organisation, now);
    ThrottledDecision decision = decideWithReserve(services, omittable, reserve);
    if (!decision.waitTime) {
        this->recordSent(request.priority(), organisation, now);
    }
    return decision;
}

ThrottledDecision ThrottledAdmission::peek(const AdmittedRequest &request,
                                           const ThrottledServices &services,
                                           std::size_t omittable,
                                           TimePoint now) const
{
    const int priority = request.priority();
    const auto known = this->classes.find(priority);
    PriorityClass priorityClass = known == this->classes.end() ? PriorityClass() : known->second;
    const double reserve = this->reserveIn(priorityClass, priority, request.organisationSpec(), now);
    return decideWithReserve(services, omittable, reserve);
}

double ThrottledAdmission::reserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now)
{
    return this->reserveIn(this->classes[priority], priority, organisation, now);
}

double ThrottledAdmission::reserveIn(PriorityClass &priorityClass,
                                     int priority,
                                     const OrganisationSpec *organisation,
                                     TimePoint now) const
{
    priorityClass.lastRequestAt = now;
    priorityClass.shares.forgetIdle(competingTime, now);
    double reserve = 0;
    if (this->isMoreUrgentWaiting(priority, now)) {
        reserve += urgentReserve;
    }
    if (priorityClass.shares.isExceeded(organisation, now)) {
        reserve += fairShareReserve;
    }
    return reserve;
}

void ThrottledAdmission::recordSent(int priority, const OrganisationSpec *organisation, TimePoint now)
{
    this->classes[priority].shares.recordSent(organisation, now);
}

bool ThrottledAdmission::isMoreUrgentWaiting(int priority, TimePoint now) const
{
    return std::any_of(this->classes.begin(), this->classes.lower_bound(priority), [now](const auto &entry) {
        return now - entry.second.lastRequestAt < competingTime;
    });
}

}
