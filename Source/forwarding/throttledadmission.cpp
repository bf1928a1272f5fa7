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

}

double ThrottledAdmission::reserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now)
{
    PriorityClass &priorityClass = this->classes[priority];
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

double ThrottledAdmission::peekReserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now) const
{
    ThrottledAdmission copy = *this;
    return copy.reserveForOthers(priority, organisation, now);
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
