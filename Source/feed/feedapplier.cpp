#include "feed/feedapplier.h"

#include "core/log.h"

namespace Lycheewall
{

namespace
{

/// Endpoints whose entries expired while the store was unavailable register again within about two seconds after it is
/// available again.
constexpr Duration removalGracePeriod = Milliseconds(2200);

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

void FeedApplier::apply(const FeedEvent &event)
{
    const FeedChange change = this->context.decoder.decode(event);
    if (const auto *table = std::get_if<RouteTableChange>(&change)) {
        this->applyTable(*table);
    } else if (const auto *endpoint = std::get_if<EndpointUpdate>(&change)) {
        this->applyEndpoint(*endpoint);
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

void FeedApplier::applyEndpoint(const EndpointUpdate &change)
{
    this->deferredRemovals.erase(change.record.id);
    this->context.endpoints.addOrUpdate(change.record, this->context.clock.now());
    logger().info("Endpoint " + change.record.id.value() + " of service " + change.record.service.value() + " at "
                  + change.record.address + (change.record.draining ? " is draining." : " is ready."));
}

void FeedApplier::applyRemoval(const EndpointRemoval &change)
{
    const TimePoint now = this->context.clock.now();
    if (now >= this->deferRemovalsUntil) {
        this->context.endpoints.remove(change.id);
        logger().info("Endpoint " + change.id.value() + " was removed.");
        return;
    }
    this->deferredRemovals[change.id] = this->context.timers.after(
        this->deferRemovalsUntil - now, [this, id = change.id] {
            this->context.endpoints.remove(id);
            logger().info("Endpoint " + id.value() + " was removed: it did not register again after the store outage.");
        });
}

void FeedApplier::applyEvacuation(const ZoneId &zone, bool isEvacuated)
{
    if (isEvacuated) {
        this->evacuatedZones.insert(zone);
    } else {
        this->evacuatedZones.erase(zone);
    }
    this->context.endpoints.setEvacuatedZones(this->evacuatedZones);
    logger().info("Zone " + zone.value() + (isEvacuated ? " is evacuated." : " is no longer evacuated."));
}

}
