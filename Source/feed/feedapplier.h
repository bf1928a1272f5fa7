#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "feed/feedchange.h"
#include "forwarding/forwarder.h"

#include <map>
#include <optional>
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
 * that still run register again within that time. After the store has gone back to an older copy of its data, older
 * states of endpoints and ends of evacuations wait too, because the newer ones are written again.
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

    /// The store has come back from an older copy of its data, and the changes that follow are the differences to that
    /// copy. What is deferred already is deferred anew, for the whole time.
    void storeRestored();

private:
    /// A change of an endpoint that is deferred; without a record, it is the removal.
    struct DeferredChange
    {
        std::optional<EndpointRecord> record;
        Subscription timer;
    };

    void applyTable(const RouteTableChange &change);
    void applyEndpoint(const EndpointUpdate &change, bool hasReappeared);
    void updateEndpoint(const EndpointRecord &record);
    /// True if the record may be older than what is known about the endpoint, because the store has lost the newer one.
    bool mayBeOutdated(const EndpointRecord &record, bool hasReappeared) const;
    void removeEndpoint(const EndpointId &id, const std::string &reason);
    void deferChange(const EndpointId &id, std::optional<EndpointRecord> record);
    void applyDeferredChange(const EndpointId &id);
    void applyRemoval(const EndpointRemoval &change);
    void applyEvacuation(const ZoneId &zone, bool isEvacuated);
    void deferEvacuationEnd(const ZoneId &zone);

    FeedApplierContext context;
    std::set<ZoneId> evacuatedZones;
    std::map<EndpointId, DeferredChange> deferredChanges;
    TimePoint deferRemovalsUntil;
    TimePoint deferOlderRecordsUntil;
    std::map<ZoneId, Subscription> deferredEvacuationEnds;
    TimePoint deferEvacuationEndsUntil;
};

}
