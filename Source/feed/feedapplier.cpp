#include "feed/feedapplier.h"

#include "core/log.h"

namespace Lycheewall
{

namespace
{

/// Endpoints whose entries expired while the store was unavailable register again within about two seconds after it is
/// available again.
constexpr Duration removalGracePeriod = Milliseconds(2200);
/// An endpoint that runs writes its state again with its next heartbeat, and the older entry of one that has left
/// expires after three heartbeat intervals. The time is counted from the listing, so it is longer than both.
constexpr Duration olderRecordGracePeriod = Milliseconds(4500);
/// Operators write an evacuation that the store has lost again within this time. Longer than the time for endpoints: an
/// early end sends requests into the zone, a late one leaves its endpoints idle for a while.
constexpr Duration evacuationGracePeriod = std::chrono::seconds(5);

Log &logger()
{
    static Log &log = Log::component("feed");
    return log;
}

}

FeedApplier::FeedApplier(const FeedApplierContext &applierContext)
    : context(applierContext)
{
}

void FeedApplier::storeRecovered()
{
    this->deferRemovalsUntil = this->context.clock.now() + removalGracePeriod;
}

void FeedApplier::storeRestored()
{
    this->storeRecovered();
    this->deferOlderRecordsUntil = this->context.clock.now() + olderRecordGracePeriod;
    this->deferEvacuationEndsUntil = this->context.clock.now() + evacuationGracePeriod;
    // What was written again since an earlier restoration may be lost again.
    for (const auto &[id, change] : this->deferredChanges) {
        this->deferChange(id, change.record);
    }
    for (const auto &[zone, timer] : this->deferredEvacuationEnds) {
        this->deferEvacuationEnd(zone);
    }
}

void FeedApplier::apply(const FeedEvent &event)
{
    const FeedChange change = this->context.decoder.decode(event);
    if (const auto *table = std::get_if<RouteTableChange>(&change)) {
        this->applyTable(*table);
    } else if (const auto *endpoint = std::get_if<EndpointUpdate>(&change)) {
        this->applyEndpoint(*endpoint, event.reappeared);
    } else if (const auto *removal = std::get_if<EndpointRemoval>(&change)) {
        this->applyRemoval(*removal);
    } else if (const auto *evacuation = std::get_if<ZoneEvacuation>(&change)) {
        this->applyEvacuation(evacuation->zone, true);
    } else if (const auto *evacuationEnd = std::get_if<ZoneEvacuationEnd>(&change)) {
        this->applyEvacuation(evacuationEnd->zone, false);
    } else if (const auto *ignored = std::get_if<IgnoredChange>(&change)) {
        this->context.counters.counter("lycheewall_feed_ignored_entries_total", ignored->reason).add();
        logger().warn("Entry " + event.key + " was ignored: " + ignored->reason + ".");
    }
}

void FeedApplier::applyTable(const RouteTableChange &change)
{
    const auto &current = this->context.forwarder.table();
    if (current && current->version() >= change.table->version()) {
        logger().info("Route table version " + std::to_string(change.table->version()) + " is not newer than "
                      + std::to_string(current->version()) + "; ignored.");
        return;
    }
    this->context.forwarder.setTable(change.table);
    this->context.quota.setLimits(change.table->organisations());
    logger().info("Route table version " + std::to_string(change.table->version()) + " is current.");
}

bool FeedApplier::mayBeOutdated(const EndpointRecord &record, bool hasReappeared) const
{
    if (this->context.clock.now() >= this->deferOlderRecordsUntil) {
        return false;
    }
    const EndpointPtr endpoint = this->context.endpoints.find(record.id);
    if (!endpoint) {
        return hasReappeared;
    }
    const EndpointRecord &current = endpoint->record;
    // A process that drains does not become ready again.
    const bool undoesDrain = record.processStartMs == current.processStartMs && current.draining && !record.draining;
    return record.processStartMs < current.processStartMs || undoesDrain;
}

void FeedApplier::applyEndpoint(const EndpointUpdate &change, bool hasReappeared)
{
    if (this->mayBeOutdated(change.record, hasReappeared)) {
        logger().info("Endpoint " + change.record.id.value()
                      + " has an older record since the store was restored; it is deferred.");
        this->deferChange(change.record.id, change.record);
        return;
    }
    this->deferredChanges.erase(change.record.id);
    this->updateEndpoint(change.record);
}

void FeedApplier::updateEndpoint(const EndpointRecord &record)
{
    this->context.endpoints.addOrUpdate(record, this->context.clock.now());
    logger().info("Endpoint " + record.id.value() + " of service " + record.service.value() + " at " + record.address
                  + (record.draining ? " is draining." : " is ready."));
}

void FeedApplier::applyRemoval(const EndpointRemoval &change)
{
    if (this->context.clock.now() < this->deferRemovalsUntil) {
        this->deferChange(change.id, std::nullopt);
        return;
    }
    this->removeEndpoint(change.id, "");
}

void FeedApplier::removeEndpoint(const EndpointId &id, const std::string &reason)
{
    this->deferredChanges.erase(id);
    this->context.endpoints.remove(id);
    logger().info("Endpoint " + id.value() + " was removed" + reason + ".");
}

void FeedApplier::deferChange(const EndpointId &id, std::optional<EndpointRecord> record)
{
    const TimePoint until = record ? this->deferOlderRecordsUntil : this->deferRemovalsUntil;
    DeferredChange &change = this->deferredChanges[id];
    change.record = std::move(record);
    change.timer
        = this->context.timers.after(until - this->context.clock.now(), [this, id] { this->applyDeferredChange(id); });
}

void FeedApplier::applyDeferredChange(const EndpointId &id)
{
    const std::optional<EndpointRecord> record = std::move(this->deferredChanges.at(id).record);
    this->deferredChanges.erase(id);
    if (record) {
        this->updateEndpoint(*record);
    } else {
        this->removeEndpoint(id, ": it did not register again after the store outage");
    }
}

void FeedApplier::applyEvacuation(const ZoneId &zone, bool isEvacuated)
{
    if (!isEvacuated && this->context.clock.now() < this->deferEvacuationEndsUntil) {
        this->deferEvacuationEnd(zone);
        return;
    }
    this->deferredEvacuationEnds.erase(zone);
    if (isEvacuated) {
        this->evacuatedZones.insert(zone);
    } else {
        this->evacuatedZones.erase(zone);
    }
    this->context.endpoints.setEvacuatedZones(this->evacuatedZones);
    logger().info("Zone " + zone.value() + (isEvacuated ? " is evacuated." : " is no longer evacuated."));
}

void FeedApplier::deferEvacuationEnd(const ZoneId &zone)
{
    this->deferredEvacuationEnds[zone]
        = this->context.timers.after(this->deferEvacuationEndsUntil - this->context.clock.now(),
                                     [this, zone] { this->applyEvacuation(zone, false); });
}

}
