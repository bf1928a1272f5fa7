#pragma once

#include "forwarding/requestrate.h"
#include "forwarding/routetable.h"

#include <map>

namespace Lycheewall
{

/// The id of the organisation; empty on public routes, where @p organisation is nullptr.
OrganisationId organisationId(const OrganisationSpec *organisation);

/**
 * The requests of each organisation that were sent to endpoints which cannot take all requests, in relation to the
 * organisations' fair shares, which are proportional to their rate limits.
 * Thread safety: none; used on the thread of the request loop.
 */
class FairShares
{
public:
    /// Records that a request has been sent. @p organisation is nullptr on public routes.
    void recordSent(const OrganisationSpec *organisation, TimePoint now);

    /// True if the organisation has sent more than its fair share of the recent requests.
    bool isExceeded(const OrganisationSpec *organisation, TimePoint now) const;

    /// True if the organisation had done so before its latest request. With few requests of each organisation, one that
    /// has just sent a request is always above its fair share.
    bool wasExceededBeforeLatest(const OrganisationSpec *organisation, TimePoint now) const;

    /// Drops organisations whose last request is older than @p idleTime.
    void forgetIdle(Duration idleTime, TimePoint now);

private:
    struct Usage
    {
        RequestRate sent;
        /// Requests per second that the organisation may send; its fair share is proportional to it.
        double weight = 1;
        TimePoint lastSentAt;
    };

    bool isAboveShare(const Usage &own, double ownRate, TimePoint now) const;

    std::map<OrganisationId, Usage> usage;
};

}
