#pragma once

#include "lease/ownership.h"
#include "peer/codec/peertransport.h"
#include "routing/localgroups.h"
#include "routing/ownerdirectory.h"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Lycheewall
{

/// Records what is sent and answers with the result that was set for the peer.
class FakeTransport : public PeerTransport
{
public:
    SendResult send(const InstanceId &peer, const PeerMessage &message) override
    {
        const auto result = this->results.find(peer);
        if (result != this->results.end() && result->second != SendResult::HandedOver) {
            return result->second;
        }
        this->sent.emplace_back(peer, message);
        if (this->afterSend) {
            std::exchange(this->afterSend, nullptr)();
        }
        return SendResult::HandedOver;
    }

    /// All sent messages of one type with their receivers, oldest first.
    template<typename Message> std::vector<std::pair<InstanceId, Message>> all() const
    {
        std::vector<std::pair<InstanceId, Message>> found;
        for (const auto &[peer, message] : this->sent) {
            if (const auto *match = std::get_if<Message>(&message)) {
                found.emplace_back(peer, *match);
            }
        }
        return found;
    }

    /// Runs once inside the next send, in place of another thread.
    std::function<void()> afterSend;
    std::map<InstanceId, SendResult> results;
    std::vector<std::pair<InstanceId, PeerMessage>> sent;
};

class FakeDirectory : public OwnerDirectory
{
public:
    std::optional<InstanceId> holder(const ResourceId &resource) const override
    {
        const auto found = this->holders.find(resource);
        return found == this->holders.end() ? std::nullopt : std::optional<InstanceId>(found->second);
    }
    bool responsive(const InstanceId &instance) const override
    {
        return this->silent.count(instance) == 0;
    }

    std::map<ResourceId, InstanceId> holders;
    std::set<InstanceId> silent;
};

/// Keeps tasks until a test ends them.
class FakeGroups : public LocalGroups
{
public:
    struct Task
    {
        GroupId group;
        GroupTask task;
        std::function<void(GroupOutcome)> done;
    };

    std::optional<TaskId> submit(const PoolId & /*pool*/,
                                 const GroupId &group,
                                 GroupTask task,
                                 std::function<void(GroupOutcome)> done) override
    {
        if (!this->owning) {
            return std::nullopt;
        }
        const TaskId id(++this->last);
        this->tasks[id] = Task { group, std::move(task), std::move(done) };
        if (this->afterSubmit) {
            std::exchange(this->afterSubmit, nullptr)();
        }
        return id;
    }
    void cancel(const PoolId & /*pool*/, const GroupId & /*group*/, TaskId task) override
    {
        this->cancelled.push_back(task);
    }
    void end(TaskId id, AttemptOutcome outcome, Refusal reason)
    {
        const auto done = this->tasks.at(id).done;
        this->tasks.erase(id);
        GroupOutcome ended;
        ended.outcome = outcome;
        ended.reason = reason;
        done(ended);
    }

    /// Runs once inside the next submit, in place of another thread.
    std::function<void()> afterSubmit;
    bool owning = true;
    std::map<TaskId, Task> tasks;
    std::vector<TaskId> cancelled;

private:
    std::uint64_t last = 0;
};

}
