#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "feed/feedchange.h"
#include "forwarding/forwarder.h"

#include <map>
#include <set>

namespace Lycheewall
{

/// Objects that feed changes are applied to. All references outlive the applier.
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
 * Applies the changes of the feed to routes, endpoints and evacuated zones. A route table is never replaced by an older
 * one. Endpoints whose entries expired while the store was unavailable are kept for a short time, because endpoints
 * that still run register again within that time.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedApplier
{
public:
    explicit FeedApplier(const FeedApplierContext &context);

    void apply(const FeedEvent &event);

    /// The store can be read again after it was unavailable: entries that are removed shortly afterwards may only have
    /// expired during the outage.
    void storeRecovered();

private:
    void applyTable(const RouteTableChange &change);
    void applyEndpoint(const EndpointUpdate &change);
    void applyRemoval(const EndpointRemoval &change);
    void applyEvacuation(const ZoneId &zone, bool isEvacuated);

    FeedApplierContext context;
    std::set<ZoneId> evacuatedZones;
    /// Timers of the endpoint removals that are deferred after an outage of the store.
    std::map<EndpointId, Subscription> deferredRemovals;
    TimePoint deferRemovalsUntil;
};

}
