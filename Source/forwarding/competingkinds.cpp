#include "forwarding/competingkinds.h"

#include "core/erasevaluesif.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// A kind or an organisation competes for this time after its last request.
constexpr Duration competingTime = std::chrono::seconds(2);
constexpr Duration cleanupInterval = std::chrono::seconds(1);
/// Requests may wait at the endpoints for these fractions of the slack of more urgent ones and of their own. The rest
/// is left for the variation of waiting times and work.
constexpr double moreUrgentSlackFraction = 0.25;
constexpr double ownSlackFraction = 0.8;
/// Factor on the longest wait for a kind that needs more work than others of the same priority, and for organisations
/// above their fair share.
constexpr double moreWorkFactor = 0.7;
constexpr double aboveFairShareFactor = 0.7;
/// The minimum share of a kind or organisation, relative to the fraction of all requests that is sent.
constexpr double minRelativeShare = 0.4;
/// Weight of one request in the averages of the fractions sent.
constexpr double sentGain = 0.05;

/// A fraction of the slack; unlimited if a request cannot be on time even without waiting.
Duration scaled(Duration slack, double fraction)
{
    return slack <= Duration::zero() ? Duration::max() : fromSeconds(fractionalSeconds(slack) * fraction);
}

}

void CompetingKinds::SentFraction::record(bool wasSent, TimePoint now)
{
    this->recordedAt = now;
    this->value += sentGain * ((wasSent ? 1 : 0) - this->value);
}

void CompetingKinds::recordArrival(const KindOfRequest &kind, TimePoint now)
{
    if (now >= this->nextCleanupAt) {
        this->forgetIdle(now);
        this->nextCleanupAt = now + cleanupInterval;
    }
    Competitor &competitor = this->kinds[Key(kind.priority, kind.route)];
    competitor.arrivals.record(now);
    competitor.work = kind.work;
    competitor.slack = kind.slack;
    competitor.lastArrivalAt = now;
}

Duration
CompetingKinds::longestWait(const KindOfRequest &kind, const OrganisationSpec *organisation, TimePoint now) const
{
    Duration longest = scaled(kind.slack, ownSlackFraction);
    bool needsMoreWork = false;
    for (const auto &[key, other] : this->kinds) {
        if (key.first < kind.priority) {
            longest = std::min(longest, scaled(other.slack, moreUrgentSlackFraction));
        } else if (key.first == kind.priority) {
            needsMoreWork = needsMoreWork || other.work < kind.work;
        }
    }
    if (longest == Duration::max()) {
        return longest;
    }
    double factor = 1;
    if (needsMoreWork) {
        factor *= moreWorkFactor;
    }
    if (this->kinds.at(Key(kind.priority, kind.route)).shares.isExceeded(organisation, now)) {
        factor *= aboveFairShareFactor;
    }
    return fromSeconds(fractionalSeconds(longest) * factor);
}

bool CompetingKinds::isBelowMinimum(const KindOfRequest &kind, const OrganisationSpec *organisation) const
{
    const Competitor &own = this->kinds.at(Key(kind.priority, kind.route));
    if (own.sent.value < minRelativeShare * this->sent.value) {
        return true;
    }
    const auto entry = own.sentByOrganisation.find(organisationId(organisation));
    return entry != own.sentByOrganisation.end() && entry->second.value < minRelativeShare * own.sent.value;
}

bool CompetingKinds::yieldsToOthers(const KindOfRequest &kind,
                                    const OrganisationSpec *organisation,
                                    TimePoint now) const
{
    const Key ownKey(kind.priority, kind.route);
    for (const auto &[key, other] : this->kinds) {
        // Idle kinds are dropped when a request arrives, which may be long ago.
        if (now - other.lastArrivalAt > competingTime) {
            continue;
        }
        const bool isMoreUrgent = key.first < kind.priority && other.slack > Duration::zero();
        const bool needsLessWork = key.first == kind.priority && key != ownKey && other.work < kind.work;
        if (isMoreUrgent || needsLessWork) {
            return true;
        }
    }
    const auto own = this->kinds.find(ownKey);
    return own != this->kinds.end() && own->second.shares.wasExceededBeforeLatest(organisation, now);
}

void CompetingKinds::recordDecision(const KindOfRequest &kind,
                                    const OrganisationSpec *organisation,
                                    bool wasSent,
                                    TimePoint now)
{
    Competitor &own = this->kinds[Key(kind.priority, kind.route)];
    this->sent.record(wasSent, now);
    own.sent.record(wasSent, now);
    own.sentByOrganisation[organisationId(organisation)].record(wasSent, now);
    if (wasSent) {
        own.shares.recordSent(organisation, now);
    }
}

Duration CompetingKinds::meanWork(TimePoint now) const
{
    double work = 0;
    double requests = 0;
    for (const auto &[key, competitor] : this->kinds) {
        const double rate = competitor.arrivals.perSecond(now);
        work += rate * fractionalSeconds(competitor.work);
        requests += rate;
    }
    return requests > 0 ? fromSeconds(work / requests) : Duration::zero();
}

void CompetingKinds::forgetIdle(TimePoint now)
{
    eraseValuesIf(this->kinds,
                  [now](const Competitor &competitor) { return now - competitor.lastArrivalAt > competingTime; });
    for (auto &[key, competitor] : this->kinds) {
        competitor.shares.forgetIdle(competingTime, now);
        eraseValuesIf(competitor.sentByOrganisation,
                      [now](const SentFraction &fraction) { return now - fraction.recordedAt > competingTime; });
    }
}

}
