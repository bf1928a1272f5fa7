#include "routing/partserver.h"

#include "lease/ownership.h"

#include <algorithm>
#include <tuple>

namespace Lycheewall
{

bool PartServer::Key::operator<(const Key &other) const
{
    return std::tie(this->from, this->id, this->group) < std::tie(other.from, other.id, other.group);
}

PartServer::PartServer(InstanceId selfId,
                       LocalGroups &localGroups,
                       PeerTransport &peerTransport,
                       const OwnerDirectory &ownerDirectory,
                       Counters &counterRegistry)
    : self(std::move(selfId))
    , local(localGroups)
    , transport(peerTransport)
    , directory(ownerDirectory)
    , counters(counterRegistry)
{
}

void PartServer::handle(const InstanceId &from, const SubRequest &request)
{
    for (const GroupId &group : request.parts) {
        this->start(from, request, group);
    }
}

void PartServer::start(const InstanceId &from, const SubRequest &request, const GroupId &group)
{
    const Key key { from, request.id, group };
    {
        const std::lock_guard lock(this->mutex);
        const bool isNew
            = this->served.emplace(key, Served { request.pool, TaskId(), request.idempotent, false }).second;
        if (!isNew) {
            this->counters.counter("lycheewall_routing_repeated_parts_total").add();
            return;
        }
    }
    GroupTask task;
    task.request = request.request;
    task.organisation = request.organisation;
    task.snapshot = request.snapshot;
    task.idempotent = request.idempotent;
    task.remaining = Milliseconds(request.remainingMs);
    task.body = request.body;
    const auto id = this->local.submit(
        request.pool, group, std::move(task), [this, key](const GroupOutcome &outcome) { this->answer(key, outcome); });
    if (!id) {
        this->refuse(key, request.pool);
        return;
    }
    bool cancelled = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->served.find(key);
        if (entry != this->served.end()) {
            entry->second.task = *id;
            cancelled = entry->second.cancelled;
        }
    }
    if (cancelled) {
        this->local.cancel(request.pool, group, *id);
    }
}

void PartServer::refuse(const Key &key, const PoolId &pool)
{
    {
        const std::lock_guard lock(this->mutex);
        this->served.erase(key);
    }
    SubAnswer message;
    message.id = key.id;
    message.part = key.group;
    message.outcome = AttemptOutcome::NotRun;
    message.reason = Refusal::NotOwner;
    const auto holder = this->directory.holder(groupResource(pool, key.group));
    if (holder && *holder != this->self) {
        message.holder = *holder;
    }
    this->transport.send(key.from, message);
}

void PartServer::answer(const Key &key, const GroupOutcome &outcome)
{
    PoolId pool;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->served.find(key);
        if (entry != this->served.end()) {
            pool = entry->second.pool;
            this->served.erase(entry);
        }
    }
    SubAnswer message;
    message.id = key.id;
    message.part = key.group;
    message.outcome = outcome.outcome;
    message.reason = outcome.reason;
    message.snapshot = outcome.snapshot;
    message.documents = outcome.documents;
    message.body = outcome.body;
    message.endpoint = outcome.endpoint;
    message.hedges = outcome.hedges;
    message.retries = outcome.retries;
    message.queuedUs = std::chrono::duration_cast<std::chrono::microseconds>(outcome.queued).count();
    message.serviceUs = std::chrono::duration_cast<std::chrono::microseconds>(outcome.service).count();
    message.queueLength = outcome.queueLength;
    if (outcome.reason == Refusal::NotOwner) {
        const auto holder = this->directory.holder(groupResource(pool, key.group));
        message.holder = holder && *holder != this->self ? *holder : InstanceId();
    }
    if (this->transport.send(key.from, message) != SendResult::HandedOver) {
        this->counters.counter("lycheewall_routing_undeliverable_answers_total").add();
    }
}

void PartServer::handle(const InstanceId &from, const SubCancel &cancel)
{
    std::vector<std::pair<Key, Served>> entries;
    {
        const std::lock_guard lock(this->mutex);
        for (auto &[key, entry] : this->served) {
            const bool named
                = cancel.parts.empty() || std::count(cancel.parts.begin(), cancel.parts.end(), key.group) > 0;
            if (key.from == from && key.id == cancel.id && named) {
                entry.cancelled = true;
                entries.emplace_back(key, entry);
            }
        }
    }
    this->giveUp(entries);
}

void PartServer::peerLost(const InstanceId &peer)
{
    std::vector<std::pair<Key, Served>> entries;
    {
        const std::lock_guard lock(this->mutex);
        for (auto &[key, entry] : this->served) {
            if (key.from == peer && entry.idempotent) {
                entry.cancelled = true;
                entries.emplace_back(key, entry);
            }
        }
    }
    this->giveUp(entries);
}

void PartServer::giveUp(const std::vector<std::pair<Key, Served>> &entries)
{
    for (const auto &[key, entry] : entries) {
        if (entry.task.value() != 0) {
            this->local.cancel(entry.pool, key.group, entry.task);
        }
    }
}

std::size_t PartServer::pending() const
{
    const std::lock_guard lock(this->mutex);
    return this->served.size();
}

}
