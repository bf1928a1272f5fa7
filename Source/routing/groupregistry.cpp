#include "routing/groupregistry.h"

#include "lease/ownership.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

struct Located
{
    const Pool *pool = nullptr;
    const Group *group = nullptr;
};

Located locate(const Catalogue &catalogue, const PoolId &poolId, const GroupId &groupId)
{
    const Pool *pool = catalogue.findPool(poolId);
    return { pool, pool == nullptr ? nullptr : pool->findGroup(groupId) };
}

/// Looks through all groups; with the ids at hand, locate() is the cheaper one.
Located locateResource(const Catalogue &catalogue, const ResourceId &resource)
{
    for (const auto &[id, pool] : catalogue.pools()) {
        for (const Group &group : pool.groups) {
            if (groupResource(id, group.id) == resource) {
                return { &pool, &group };
            }
        }
    }
    return {};
}

/// The later of the two classes, so that neither a pool nor an organisation can raise the other's.
WorkClass workClassOf(const Catalogue &catalogue, const PoolId &pool, const OrganisationId &organisation)
{
    const Pool *poolEntry = catalogue.findPool(pool);
    const Organisation *organisationEntry = catalogue.findOrganisation(organisation);
    const WorkClass ofPool = poolEntry == nullptr ? WorkClass::Archive : poolEntry->workClass;
    const WorkClass ofOrganisation
        = organisationEntry == nullptr ? WorkClass::Interactive : organisationEntry->workClass;
    return std::max(ofPool, ofOrganisation);
}

}

GroupRegistry::GroupRegistry(const SchedulerContext &schedulerContext)
    : context(schedulerContext)
{
}

void GroupRegistry::setCatalogue(const std::shared_ptr<const Catalogue> &newCatalogue)
{
    std::map<ResourceId, Owned> present;
    {
        const std::lock_guard lock(this->mutex);
        this->catalogue = newCatalogue;
        present = this->owned;
    }
    for (const auto &[resource, entry] : present) {
        const Located located = locate(*newCatalogue, entry.pool, entry.group);
        if (located.group != nullptr) {
            entry.scheduler->update(*located.pool, *located.group, newCatalogue->drainedZones());
        } else {
            this->lost(resource);
        }
    }
}

std::vector<ResourceId> GroupRegistry::resources() const
{
    std::vector<ResourceId> all;
    const std::lock_guard lock(this->mutex);
    if (!this->catalogue) {
        return all;
    }
    for (const auto &[id, pool] : this->catalogue->pools()) {
        for (const Group &group : pool.groups) {
            all.push_back(groupResource(id, group.id));
        }
    }
    return all;
}

void GroupRegistry::gained(const ResourceId &resource)
{
    const std::lock_guard lock(this->mutex);
    if (!this->catalogue) {
        return;
    }
    const Located located = locateResource(*this->catalogue, resource);
    if (located.group == nullptr) {
        return;
    }
    // Nothing is known of how warm the endpoints are after another owner's time, so all start at their cold limit.
    auto scheduler
        = OwnerScheduler::create(this->context, *located.pool, *located.group, this->catalogue->drainedZones(), {});
    this->owned[resource] = { located.pool->id, located.group->id, std::move(scheduler), ++this->lastGeneration };
}

void GroupRegistry::lost(const ResourceId &resource)
{
    Owned entry;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->owned.find(resource);
        if (found == this->owned.end()) {
            return;
        }
        entry = found->second;
        this->owned.erase(found);
    }
    // Connections count against the endpoint's cap while the next owner opens its own.
    entry.scheduler->stop([this, pool = entry.pool, group = entry.group] { this->closeConnections(pool, group); });
}

void GroupRegistry::handOver(const ResourceId &resource, std::function<void()> done)
{
    const auto entry = this->find(resource);
    if (!entry) {
        done();
        return;
    }
    entry->scheduler->stop([this, pool = entry->pool, group = entry->group, done = std::move(done)] {
        this->closeConnections(pool, group);
        done();
    });
}

void GroupRegistry::closeConnections(const PoolId &pool, const GroupId &group)
{
    std::shared_ptr<const Catalogue> present;
    {
        const std::lock_guard lock(this->mutex);
        present = this->catalogue;
    }
    const Located located = present ? locate(*present, pool, group) : Located {};
    if (located.group == nullptr) {
        return;
    }
    for (const Endpoint &endpoint : located.group->endpoints) {
        this->context.transport.closeIdle(endpoint.id);
    }
}

std::optional<GroupRegistry::Owned> GroupRegistry::find(const ResourceId &resource) const
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->owned.find(resource);
    return entry == this->owned.end() ? std::nullopt : std::optional<Owned>(entry->second);
}

std::optional<TaskId>
GroupRegistry::submit(const PoolId &pool, const GroupId &group, GroupTask task, std::function<void(GroupOutcome)> done)
{
    const ResourceId resource = groupResource(pool, group);
    const auto entry = this->find(resource);
    if (!entry || !this->context.ownership.owns(resource)) {
        return std::nullopt;
    }
    {
        const std::lock_guard lock(this->mutex);
        task.workClass = workClassOf(*this->catalogue, pool, task.organisation);
    }
    const TaskId inner = entry->scheduler->submit(std::move(task), std::move(done));
    return TaskId((entry->generation << taskBits) | inner.value());
}

void GroupRegistry::cancel(const PoolId &pool, const GroupId &group, TaskId task)
{
    const auto entry = this->find(groupResource(pool, group));
    if (entry && task.value() >> taskBits == entry->generation) {
        entry->scheduler->cancel(TaskId(task.value() & ((std::uint64_t { 1 } << taskBits) - 1)));
    }
}

std::vector<EndpointId> GroupRegistry::cold() const
{
    std::vector<EndpointId> all;
    for (const GroupReport &report : this->reports()) {
        for (const EndpointReport &endpoint : report.state.endpoints) {
            if (endpoint.cold) {
                all.push_back(endpoint.id);
            }
        }
    }
    return all;
}

std::vector<GroupReport> GroupRegistry::reports() const
{
    std::map<ResourceId, Owned> present;
    {
        const std::lock_guard lock(this->mutex);
        present = this->owned;
    }
    std::vector<GroupReport> all;
    all.reserve(present.size());
    for (const auto &[resource, entry] : present) {
        all.push_back({ entry.pool, entry.group, entry.scheduler->state() });
    }
    return all;
}

}
