#pragma once

#include "catalogue/catalogue.h"
#include "routing/localgroups.h"
#include "scheduling/ownerscheduler.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace Lycheewall
{

/// State of one owned group, for operators.
struct GroupReport
{
    PoolId pool;
    GroupId group;
    SchedulerState state;
};

/**
 * The schedulers of the groups that this instance owns: made when a lease is taken, ended when it is lost.
 * Thread safety: any thread.
 */
class GroupRegistry : public LocalGroups
{
public:
    /// Everything that @p schedulerContext refers to must outlive the registry.
    explicit GroupRegistry(const SchedulerContext &schedulerContext);

    /// Puts a newer catalogue into force in every scheduler.
    void setCatalogue(const std::shared_ptr<const Catalogue> &newCatalogue);

    /// Resources of all groups of the catalogue in force.
    std::vector<ResourceId> resources() const;

    void gained(const ResourceId &resource);
    void lost(const ResourceId &resource);

    /// Ends the scheduler without cutting what runs; @p done runs when its connections may be closed. Runs at once when
    /// there is no scheduler.
    void handOver(const ResourceId &resource, std::function<void()> done);

    std::optional<TaskId>
    submit(const PoolId &pool, const GroupId &group, GroupTask task, std::function<void(GroupOutcome)> done) override;
    void cancel(const PoolId &pool, const GroupId &group, TaskId task) override;

    /// Endpoints of owned groups that run below their full concurrency because they are cold.
    std::vector<EndpointId> cold() const;
    std::vector<GroupReport> reports() const;

private:
    struct Owned
    {
        PoolId pool;
        GroupId group;
        std::shared_ptr<GroupScheduler> scheduler;
        /// Counts the schedulers made by this registry, from 1.
        std::uint64_t generation = 0;
    };

    /// Each scheduler numbers its tasks from 1. The bits above these carry the generation, so that a cancel for an
    /// earlier ownership of a group does not hit a task of the present one.
    static constexpr unsigned taskBits = 40;

    std::optional<Owned> find(const ResourceId &resource) const;
    void closeConnections(const PoolId &pool, const GroupId &group);

    const SchedulerContext context;
    mutable std::mutex mutex;
    std::shared_ptr<const Catalogue> catalogue;
    std::map<ResourceId, Owned> owned;
    std::uint64_t lastGeneration = 0;
};

}
