#pragma once

#include "scheduling/groupscheduler.h"

#include <functional>
#include <optional>

namespace Lycheewall
{

/**
 * The groups that this instance owns.
 * Thread safety: any thread.
 */
class LocalGroups
{
public:
    virtual ~LocalGroups() = default;

    /// Gives a task to the group's scheduler. Empty, without a call of @p done, when this instance does not own the
    /// group. @p done runs exactly once, never inside submit().
    virtual std::optional<TaskId>
    submit(const PoolId &pool, const GroupId &group, GroupTask task, std::function<void(GroupOutcome)> done) = 0;

    virtual void cancel(const PoolId &pool, const GroupId &group, TaskId task) = 0;
};

}
