#pragma once

#include "forwarding/fairshares.h"
#include "forwarding/requestrate.h"

#include <map>
#include <string>
#include <utility>

namespace Lycheewall
{

/// What determines how long requests may wait at the endpoints when a request is sent there.
struct KindOfRequest
{
    /// 0 is the highest.
    int priority = 0;
    std::string route;
    /// Time for which a request occupies a slot of an endpoint.
    Duration work {};
    /// Time that a request can wait at an endpoint and still be served on time; zero or negative if it cannot be on
    /// time even without waiting.
    Duration slack {};
};

/**
 * The kinds of requests, by priority and route, that compete for the same endpoints. Divides the room of the endpoints
 * among them when it does not suffice for all: a request is sent only while the waiting time at the endpoints leaves
 * more urgent ones enough time. Each kind and each organisation is left a minimum share.
 * Thread safety: none; used on the thread of the request loop.
 */
class CompetingKinds
{
public:
    /// Records that a request has arrived.
    void recordArrival(const KindOfRequest &kind, TimePoint now);

    /// The longest waiting time at the endpoints at which the request is sent; Duration::max() if neither it nor a more
    /// urgent kind can be served on time. Precondition: the arrival of @p kind was recorded.
    Duration longestWait(const KindOfRequest &kind, const OrganisationSpec *organisation, TimePoint now) const;

    /// True if the kind or the organisation has got less than its minimum share, so that the request is sent whatever
    /// the waiting time. Precondition: the arrival of @p kind was recorded.
    bool isBelowMinimum(const KindOfRequest &kind, const OrganisationSpec *organisation) const;

    /// True if others come before the request in a shortage: a more urgent kind that can be on time, an equally urgent
    /// kind that needs less work, or organisations within their fair share. The request was sent already.
    bool yieldsToOthers(const KindOfRequest &kind, const OrganisationSpec *organisation, TimePoint now) const;

    /// Records whether a request was sent while the endpoints were short of room.
    void recordDecision(const KindOfRequest &kind, const OrganisationSpec *organisation, bool wasSent, TimePoint now);

    /// Mean work of the recent requests; zero without any.
    Duration meanWork(TimePoint now) const;

private:
    /// Moving average of the fraction of requests that were sent.
    struct SentFraction
    {
        void record(bool wasSent, TimePoint now);

        double value = 1;
        TimePoint recordedAt;
    };
    struct Competitor
    {
        RequestRate arrivals;
        Duration work {};
        Duration slack {};
        TimePoint lastArrivalAt;
        SentFraction sent;
        FairShares shares;
        std::map<OrganisationId, SentFraction> sentByOrganisation;
    };
    /// Priority and route.
    using Key = std::pair<int, std::string>;

    void forgetIdle(TimePoint now);

    std::map<Key, Competitor> kinds;
    SentFraction sent;
    TimePoint nextCleanupAt;
};

}
