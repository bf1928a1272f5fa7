#include "forwarding/fairshares.h"

#include "core/erasevaluesif.h"

namespace Lycheewall
{

namespace
{

/// Weight of organisations without a limit, and of public routes.
constexpr double defaultWeight = 1;

}

OrganisationId organisationId(const OrganisationSpec *organisation)
{
    return organisation == nullptr ? OrganisationId() : organisation->id;
}

void FairShares::recordSent(const OrganisationSpec *organisation, TimePoint now)
{
    Usage &own = this->usage[organisationId(organisation)];
    own.sent.record(now);
    own.weight
        = organisation != nullptr && organisation->ratePerSecond > 0 ? organisation->ratePerSecond : defaultWeight;
    own.lastSentAt = now;
}

bool FairShares::isExceeded(const OrganisationSpec *organisation, TimePoint now) const
{
    const auto own = this->usage.find(organisationId(organisation));
    return own != this->usage.end() && this->isAboveShare(own->second, own->second.sent.perSecond(now), now);
}

bool FairShares::wasExceededBeforeLatest(const OrganisationSpec *organisation, TimePoint now) const
{
    const auto own = this->usage.find(organisationId(organisation));
    return own != this->usage.end()
        && this->isAboveShare(own->second, own->second.sent.perSecondBeforeLatest(now), now);
}

bool FairShares::isAboveShare(const Usage &own, double ownRate, TimePoint now) const
{
    double totalRate = 0;
    double totalWeight = 0;
    for (const auto &[id, entry] : this->usage) {
        totalRate += &entry == &own ? ownRate : entry.sent.perSecond(now);
        totalWeight += entry.weight;
    }
    return ownRate * totalWeight > totalRate * own.weight;
}

void FairShares::forgetIdle(Duration idleTime, TimePoint now)
{
    eraseValuesIf(this->usage, [idleTime, now](const Usage &entry) { return now - entry.lastSentAt >= idleTime; });
}

}
