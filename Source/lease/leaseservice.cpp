#include "lease/leaseservice.h"

#include <random>

namespace Lycheewall
{

namespace
{

/// How often lapsed leases are looked for, so that the application hears of a loss soon after it.
constexpr Duration lapseCheck = Milliseconds(50);

/// Not from the seeded generator: two runs with the same seed must not take each other's replies.
std::uint32_t randomRunNumber()
{
    std::random_device device;
    return device();
}

}

LeaseService::LeaseService(LeaseSettings times,
                           const Clock &timeSource,
                           TimerService &timerService,
                           PeerTransport &peerTransport,
                           PeerTable &peerTable,
                           Counters &counterRegistry,
                           InstanceId selfId,
                           std::function<bool()> cutOffTest)
    : settings(times)
    , timers(timerService)
    , transport(peerTransport)
    , peers(peerTable)
    , counters(counterRegistry)
    , self(std::move(selfId))
    , cutOff(std::move(cutOffTest))
    , voter(times, timeSource, counterRegistry, self)
    , leases(times, timeSource, randomRunNumber())
    , planner(times, timeSource, peerTable, self)
{
}

void LeaseService::start()
{
    this->renewTimer = this->timers.every(this->settings.renew, [this] { this->round(); });
    this->lapseTimer = this->timers.every(lapseCheck, [this] { this->dispatchChanges(); });
    this->round();
}

void LeaseService::setList(std::shared_ptr<const InstanceList> list, ValueVersion version)
{
    this->voter.setList(list, version);
    this->leases.setList(std::move(list), version);
    this->dispatchChanges();
}

void LeaseService::setResources(const std::vector<ResourceId> &resources)
{
    this->planner.setResources(resources);
}

void LeaseService::setReady(bool ready)
{
    this->planner.setReady(ready);
}

void LeaseService::setCatalogueVersion(ValueVersion version)
{
    const std::lock_guard lock(this->mutex);
    this->catalogueVersion = version;
}

void LeaseService::round()
{
    this->dispatchChanges();
    std::set<ResourceId> busy;
    {
        const std::lock_guard lock(this->mutex);
        busy = this->handingOver;
    }
    const OwnershipPlan plan = this->planner.plan(this->leases, busy);
    this->send(this->leases.release(plan.giveBack));
    this->send(this->leases.requests(plan.ask));
    this->dispatchChanges();
    this->notifyHandover(plan.handOver);
}

void LeaseService::send(const std::vector<AddressedMessage> &messages)
{
    for (const AddressedMessage &addressed : messages) {
        this->deliver(addressed);
    }
}

void LeaseService::deliver(const AddressedMessage &addressed)
{
    if (addressed.peer != this->self) {
        const SendResult result = this->transport.send(addressed.peer, addressed.message);
        if (result != SendResult::HandedOver) {
            this->counters.counter("lycheewall_lease_unsent_total").add();
        }
        return;
    }
    if (const auto *request = std::get_if<LeaseRequest>(&addressed.message)) {
        this->leases.reply(this->self, this->voter.handle(this->self, *request));
    } else if (const auto *release = std::get_if<LeaseRelease>(&addressed.message)) {
        this->voter.handle(this->self, *release);
    }
}

void LeaseService::handle(const InstanceId &from, const LeaseRequest &request)
{
    LeaseReply reply = this->voter.handle(from, request);
    {
        const std::lock_guard lock(this->mutex);
        reply.catalogueVersion = this->catalogueVersion;
    }
    this->transport.send(from, reply);
}

void LeaseService::handle(const InstanceId &from, const LeaseReply &reply)
{
    this->leases.reply(from, reply);
    this->dispatchChanges();
}

void LeaseService::handle(const InstanceId &from, const LeaseRelease &release)
{
    this->voter.handle(from, release);
    const std::lock_guard lock(this->mutex);
    if (this->askDue) {
        return;
    }
    // The successor need not wait for its next renewal. The other voters get the release at about the same time.
    this->askDue = true;
    this->askTimer = this->timers.after(askAfterRelease, [this] { this->askAgain(); });
}

void LeaseService::askAgain()
{
    {
        const std::lock_guard lock(this->mutex);
        this->askDue = false;
    }
    this->round();
}

bool LeaseService::owns(const ResourceId &resource) const
{
    // The clock is read last, inside holds().
    return !this->cutOff() && this->leases.holds(resource);
}

std::optional<InstanceId> LeaseService::holder(const ResourceId &resource) const
{
    if (this->owns(resource)) {
        return this->self;
    }
    if (auto announced = this->peers.announcedHolder(resource)) {
        return announced;
    }
    const Panel panel = this->leases.panel(resource);
    for (const InstanceId &member : panel.members()) {
        if (this->peers.mayOwn(member)) {
            return member;
        }
    }
    return std::nullopt;
}

const InstanceId &LeaseService::instance() const
{
    return this->self;
}

std::vector<ResourceId> LeaseService::held() const
{
    return this->leases.held();
}

void LeaseService::onGained(ResourceCallback callback)
{
    this->gained = std::move(callback);
}

void LeaseService::onLost(ResourceCallback callback)
{
    this->lost = std::move(callback);
}

void LeaseService::onHandover(ResourceCallback callback)
{
    this->handover = std::move(callback);
}

void LeaseService::notifyHandover(const std::vector<ResourceId> &resources)
{
    for (const ResourceId &resource : resources) {
        {
            const std::lock_guard lock(this->mutex);
            if (!this->handingOver.insert(resource).second) {
                continue;
            }
        }
        this->counters.counter("lycheewall_lease_handovers_total").add();
        if (this->handover) {
            this->handover(resource);
        } else {
            this->handoverDone(resource);
        }
    }
}

void LeaseService::handoverDone(const ResourceId &resource)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->handingOver.erase(resource) == 0) {
            return;
        }
    }
    const std::vector<AddressedMessage> releases = this->leases.release({ resource });
    this->dispatchChanges();
    this->send(releases);
}

void LeaseService::leave()
{
    this->planner.leave();
    this->round();
}

bool LeaseService::idle() const
{
    return this->leases.held().empty();
}

void LeaseService::dispatchChanges()
{
    std::unique_lock lock(this->mutex);
    for (LeaseChange &change : this->leases.takeChanges()) {
        this->queue.push_back(std::move(change));
    }
    if (this->dispatching) {
        return;
    }
    this->dispatching = true;
    while (!this->queue.empty()) {
        const LeaseChange change = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        this->dispatch(change);
        lock.lock();
    }
    this->dispatching = false;
}

void LeaseService::dispatch(const LeaseChange &change)
{
    if (change.kind == LeaseChange::Kind::Gained) {
        if (!this->leases.activate(change)) {
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->announced.insert(change.resource);
        }
        this->counters.counter("lycheewall_lease_gained_total").add();
        if (this->gained) {
            this->gained(change.resource);
        }
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->handingOver.erase(change.resource);
        if (this->announced.erase(change.resource) == 0) {
            return;
        }
    }
    this->counters.counter("lycheewall_lease_lost_total").add();
    if (this->lost) {
        this->lost(change.resource);
    }
}

}
