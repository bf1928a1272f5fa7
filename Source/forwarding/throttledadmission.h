#pragma once

#include "forwarding/fairshares.h"

#include <map>

namespace Lycheewall
{

/**
 * Decides which requests get the last tokens of a service whose endpoints have all asked for fewer requests: those of
 * the most urgent priority, and among requests of the same priority those of organisations that use no more than their
 * fair share. All others leave a part of the tokens to these.
 * Thread safety: none; used on the thread of the request loop.
 */
class ThrottledAdmission
{
public:
    /// Records that a request of @p priority (0 is the highest) is for a throttled service, and returns the fraction of
    /// the tokens that it has to leave to others. @p organisation is nullptr on public routes.
    double reserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now);

    /// Returns what reserveForOthers() would return now, and records nothing.
    double peekReserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now) const;

    /// Records that the request has been sent to a throttled service.
    void recordSent(int priority, const OrganisationSpec *organisation, TimePoint now);

private:
    /// The requests of one priority.
    struct PriorityClass
    {
        TimePoint lastRequestAt;
        FairShares shares;
    };

    bool isMoreUrgentWaiting(int priority, TimePoint now) const;

    std::map<int, PriorityClass> classes;
};

}
