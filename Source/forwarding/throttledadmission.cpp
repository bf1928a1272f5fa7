#include "forwarding/throttledadmission.h"

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
/// Weight of organisations without a limit, and of public routes.
constexpr double defaultWeight = 1;

OrganisationId idOf(const OrganisationSpec *organisation)
{
    return organisation == nullptr ? OrganisationId() : organisation->id;
}

}

double ThrottledAdmission::reserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now)
{
    PriorityClass &priorityClass = this->classes[priority];
    priorityClass.lastRequestAt = now;
    forgetIdleOrganisations(priorityClass, now);
    double reserve = 0;
    if (this->isMoreUrgentWaiting(priority, now)) {
        reserve += urgentReserve;
    }
    if (exceedsFairShare(priorityClass, idOf(organisation), now)) {
        reserve += fairShareReserve;
    }
    return reserve;
}

void ThrottledAdmission::recordSent(int priority, const OrganisationSpec *organisation, TimePoint now)
{
    Usage &usage = this->classes[priority].usage[idOf(organisation)];
    usage.sent.record(now);
    usage.weight
        = organisation != nullptr && organisation->ratePerSecond > 0 ? organisation->ratePerSecond : defaultWeight;
    usage.lastSentAt = now;
}

bool ThrottledAdmission::isMoreUrgentWaiting(int priority, TimePoint now) const
{
    return std::any_of(this->classes.begin(), this->classes.lower_bound(priority), [now](const auto &entry) {
        return now - entry.second.lastRequestAt < competingTime;
    });
}

bool ThrottledAdmission::exceedsFairShare(const PriorityClass &priorityClass,
                                          const OrganisationId &organisation,
                                          TimePoint now)
{
    const auto own = priorityClass.usage.find(organisation);
    if (own == priorityClass.usage.end()) {
        return false;
    }
    double totalRate = 0;
    double totalWeight = 0;
    for (const auto &[id, usage] : priorityClass.usage) {
        totalRate += usage.sent.perSecond(now);
        totalWeight += usage.weight;
    }
    return own->second.sent.perSecond(now) * totalWeight > totalRate * own->second.weight;
}

void ThrottledAdmission::forgetIdleOrganisations(PriorityClass &priorityClass, TimePoint now)
{
    for (auto entry = priorityClass.usage.begin(); entry != priorityClass.usage.end();) {
        const bool isIdle = now - entry->second.lastSentAt >= competingTime;
        entry = isIdle ? priorityClass.usage.erase(entry) : std::next(entry);
    }
}

}
