#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "feed/feedchange.h"
#include "forwarding/forwarder.h"

#include <map>
#include <set>

namespace Lycheewall
{

/// What the changes of the feed act on. All references outlive the state.
struct FeedApplierContext
{
    const Clock &clock;
    TimerService &timers;
    Counters &counters;
    const FeedDecoder &decoder;
    EndpointSet &endpoints;
    Forwarder &forwarder;
    OrganisationQuota &quota;
};

/**
 * Brings changes of the feed into force: routes, endpoints, evacuated zones. A route table never gives way to an older
 * one. Endpoints whose entries lapsed while the store was away are used a little longer, as they are back within a
 * short time if they live.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedApplier
{
public:
    explicit FeedApplier(const FeedApplierContext &context);

    void apply(const FeedEvent &event);

    /// The store can be read again after it was away: removals of the next moments may be lapses.
    void storeRecovered();

private:
    void applyTable(const RouteTableChange &change);
    void applyEndpoint(const EndpointUpdate &change);
    void applyRemoval(const EndpointRemoval &change);
    void applyEvacuation(const ZoneId &zone, bool evacuated);

    FeedApplierContext context;
    std::set<ZoneId> evacuated;
    std::map<EndpointId, Subscription> lapsing;
    TimePoint lapsesUntil;
};

}
