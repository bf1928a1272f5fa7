#pragma once

#include "core/clock.h"
#include "forwarding/requestrate.h"
#include "forwarding/routetable.h"

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

    /// Records that the request has been sent to a throttled service.
    void recordSent(int priority, const OrganisationSpec *organisation, TimePoint now);

private:
    struct Usage
    {
        RequestRate sent;
        /// Requests per second that the organisation may send; its fair share is proportional to it.
        double weight = 1;
        TimePoint lastSentAt;
    };

    /// The requests of one priority.
    struct PriorityClass
    {
        TimePoint lastRequestAt;
        std::map<OrganisationId, Usage> usage;
    };

    bool isMoreUrgentWaiting(int priority, TimePoint now) const;
    /// True if the organisation has sent more of the requests of @p priorityClass than its fair share.
    static bool exceedsFairShare(const PriorityClass &priorityClass, const OrganisationId &organisation, TimePoint now);
    static void forgetIdleOrganisations(PriorityClass &priorityClass, TimePoint now);

    std::map<int, PriorityClass> classes;
};

}
