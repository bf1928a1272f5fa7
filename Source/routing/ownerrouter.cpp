#include "routing/ownerrouter.h"

#include "lease/ownership.h"
#include "routing/partoutcomes.h"

namespace Lycheewall
{

namespace
{

/// Refusals that say that the work reached an instance that cannot run it, and another one may.
bool meansWrongOwner(Refusal reason)
{
    return reason == Refusal::NotOwner || reason == Refusal::NoOwner || reason == Refusal::StaleConfiguration
        || reason == Refusal::PeerUnreachable || reason == Refusal::PeerQueueFull;
}

}

OwnerRouter::OwnerRouter(InstanceId selfId,
                         const Clock &timeSource,
                         TimerService &timers,
                         PeerTransport &peerTransport,
                         const OwnerDirectory &ownerDirectory,
                         LocalGroups &localGroups,
                         Counters &counterRegistry)
    : self(std::move(selfId))
    , clock(timeSource)
    , transport(peerTransport)
    , directory(ownerDirectory)
    , local(localGroups)
    , counters(counterRegistry)
    , timer(timers.every(tick, [this] { this->onTick(); }))
{
}

std::uint64_t OwnerRouter::submit(PartRequest request, std::function<void(PartOutcome)> callback)
{
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(this->mutex);
        id = ++this->lastId;
        Submission &submission = this->submissions[id];
        submission.deadline = this->clock.now() + request.remaining;
        for (const GroupId &group : request.groups) {
            submission.parts[group].notBefore = this->clock.now();
        }
        submission.request = std::move(request);
        submission.callback = std::move(callback);
    }
    this->dispatch(id);
    return id;
}

void OwnerRouter::cancel(std::uint64_t id)
{
    std::vector<Cancel> cancels;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->submissions.find(id);
        if (entry == this->submissions.end()) {
            return;
        }
        for (const auto &[group, part] : entry->second.parts) {
            this->addCancel(entry->second, group, part, cancels);
        }
        entry->second.parts.clear();
        this->eraseIfEmpty(id);
    }
    this->carryOut(cancels);
}

void OwnerRouter::dispatch(std::uint64_t id)
{
    const Work work = this->collect(id);
    for (const LocalSend &send : work.local) {
        this->sendLocal(send);
    }
    for (const RemoteSend &send : work.remote) {
        this->sendRemote(send);
    }
}

OwnerRouter::Work OwnerRouter::collect(std::uint64_t id)
{
    Work work;
    const std::lock_guard lock(this->mutex);
    const auto entry = this->submissions.find(id);
    if (entry == this->submissions.end()) {
        return work;
    }
    Submission &submission = entry->second;
    const TimePoint now = this->clock.now();
    if (now >= submission.deadline) {
        return work;
    }
    for (auto &[group, part] : submission.parts) {
        if (part.stage != PartStage::Waiting || part.notBefore > now) {
            continue;
        }
        const auto destination
            = part.hint ? part.hint : this->directory.holder(groupResource(submission.request.pool, group));
        part.hint.reset();
        if (!destination) {
            this->returnToWaiting(part, Refusal::NoOwner);
        } else if (*destination == this->self) {
            part.stage = PartStage::Local;
            part.sentTo = this->self;
            part.wireId = ++this->lastWireId;
            work.local.push_back({ id, group });
        } else {
            this->addRemote(work, id, submission, group, *destination);
        }
    }
    return work;
}

void OwnerRouter::addRemote(
    Work &work, std::uint64_t id, Submission &submission, const GroupId &group, const InstanceId &peer)
{
    RemoteSend *batch = nullptr;
    for (RemoteSend &send : work.remote) {
        batch = send.peer == peer ? &send : batch;
    }
    if (batch == nullptr) {
        const PartRequest &request = submission.request;
        SubRequest message;
        message.id = ++this->lastWireId;
        message.request = request.request;
        message.organisation = request.organisation;
        message.pool = request.pool;
        message.snapshot = request.snapshot;
        message.idempotent = request.idempotent;
        message.remainingMs = toMilliseconds(submission.deadline - this->clock.now());
        message.body = request.body;
        this->submissionByWireId[message.id] = id;
        submission.wireIds.push_back(message.id);
        work.remote.push_back({ id, peer, std::move(message) });
        batch = &work.remote.back();
    }
    batch->message.parts.push_back(group);
    RoutedPart &part = submission.parts[group];
    part.stage = PartStage::Remote;
    part.sentTo = peer;
    part.wireId = batch->message.id;
}

void OwnerRouter::sendLocal(const LocalSend &send)
{
    GroupTask task;
    PoolId pool;
    std::uint64_t wireId = 0;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->submissions.find(send.submission);
        if (entry == this->submissions.end() || entry->second.parts.count(send.group) == 0) {
            return;
        }
        const PartRequest &request = entry->second.request;
        pool = request.pool;
        wireId = entry->second.parts[send.group].wireId;
        task.request = request.request;
        task.organisation = request.organisation;
        task.snapshot = request.snapshot;
        task.idempotent = request.idempotent;
        task.remaining = entry->second.deadline - this->clock.now();
        task.body = request.body;
    }
    const auto taskId
        = this->local.submit(pool, send.group, std::move(task), [this, send, wireId](const GroupOutcome &outcome) {
              this->localEnded(send.submission, send.group, wireId, outcome);
          });
    {
        const std::lock_guard lock(this->mutex);
        RoutedPart *part = this->findSent(send.submission, send.group, wireId);
        if (part != nullptr && taskId) {
            part->task = *taskId;
            return;
        }
        if (part != nullptr) {
            this->returnToWaiting(*part, Refusal::NoOwner);
        }
    }
    // A cancel or the deadline came before the number of the task was known here.
    if (taskId) {
        this->local.cancel(pool, send.group, *taskId);
    }
}

void OwnerRouter::sendRemote(const RemoteSend &send)
{
    const SendResult result = this->transport.send(send.peer, send.message);
    if (result == SendResult::HandedOver) {
        this->cancelOvertaken(send);
        return;
    }
    const Refusal why = result == SendResult::QueueFull ? Refusal::PeerQueueFull : Refusal::PeerUnreachable;
    const std::lock_guard lock(this->mutex);
    this->submissionByWireId.erase(send.message.id);
    const auto entry = this->submissions.find(send.submission);
    if (entry == this->submissions.end()) {
        return;
    }
    for (auto &[group, part] : entry->second.parts) {
        if (part.wireId == send.message.id) {
            this->returnToWaiting(part, why);
        }
    }
}

void OwnerRouter::cancelOvertaken(const RemoteSend &send)
{
    SubCancel message;
    message.id = send.message.id;
    {
        const std::lock_guard lock(this->mutex);
        for (const GroupId &group : send.message.parts) {
            if (this->findSent(send.submission, group, send.message.id) == nullptr) {
                message.parts.push_back(group);
            }
        }
    }
    if (!message.parts.empty()) {
        this->transport.send(send.peer, message);
    }
}

RoutedPart *OwnerRouter::findSent(std::uint64_t id, const GroupId &group, std::uint64_t wireId)
{
    const auto entry = this->submissions.find(id);
    if (entry == this->submissions.end()) {
        return nullptr;
    }
    const auto part = entry->second.parts.find(group);
    return part == entry->second.parts.end() || part->second.wireId != wireId ? nullptr : &part->second;
}

void OwnerRouter::returnToWaiting(RoutedPart &part, Refusal why)
{
    part.stage = PartStage::Waiting;
    part.wireId = 0;
    part.lastRefusal = why;
    part.notBefore = this->clock.now() + retryDelay;
}

void OwnerRouter::localEnded(std::uint64_t id, const GroupId &group, std::uint64_t wireId, const GroupOutcome &outcome)
{
    this->partEnded(id, this->self, wireId, fromGroup(group, outcome), std::nullopt);
}

void OwnerRouter::handle(const InstanceId &from, const SubAnswer &answer)
{
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->submissionByWireId.find(answer.id);
        if (entry != this->submissionByWireId.end()) {
            id = entry->second;
        }
    }
    std::optional<InstanceId> holder;
    if (!answer.holder.value().empty()) {
        holder = answer.holder;
    }
    this->partEnded(id, from, answer.id, fromAnswer(answer), holder);
}

void OwnerRouter::partEnded(std::uint64_t id,
                            const InstanceId &from,
                            std::uint64_t wireId,
                            PartOutcome outcome,
                            const std::optional<InstanceId> &holder)
{
    std::function<void(PartOutcome)> callback;
    bool again = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->submissions.find(id);
        const auto part = entry == this->submissions.end() ? decltype(entry->second.parts.end()) {}
                                                           : entry->second.parts.find(outcome.group);
        const bool known = entry != this->submissions.end() && part != entry->second.parts.end()
            && part->second.wireId == wireId && part->second.sentTo == from && part->second.stage != PartStage::Waiting;
        if (!known) {
            this->counters.counter("lycheewall_routing_late_answers_total").add();
            return;
        }
        again = this->sendAgain(entry->second, part->second, outcome, holder);
        if (!again) {
            if (part->second.mayHaveRun && outcome.outcome == AttemptOutcome::NotRun) {
                outcome.outcome = AttemptOutcome::Unknown;
            }
            callback = entry->second.callback;
            entry->second.parts.erase(part);
            this->eraseIfEmpty(id);
        }
    }
    if (again) {
        this->dispatch(id);
    } else {
        callback(std::move(outcome));
    }
}

bool OwnerRouter::sendAgain(const Submission &submission,
                            RoutedPart &part,
                            const PartOutcome &outcome,
                            const std::optional<InstanceId> &holder)
{
    if (outcome.outcome != AttemptOutcome::NotRun || !meansWrongOwner(outcome.reason)) {
        return false;
    }
    if (this->clock.now() >= submission.deadline) {
        return false;
    }
    const InstanceId refusedBy = part.sentTo;
    this->returnToWaiting(part, outcome.reason);
    this->countRetry(refusalCode(outcome.reason));
    if (holder && *holder != refusedBy && part.redirects < maxRedirects) {
        ++part.redirects;
        part.hint = holder;
        part.notBefore = this->clock.now();
    }
    return true;
}

void OwnerRouter::peerLost(const InstanceId &peer)
{
    std::vector<Ended> ended;
    {
        const std::lock_guard lock(this->mutex);
        for (auto &[id, submission] : this->submissions) {
            for (auto part = submission.parts.begin(); part != submission.parts.end();) {
                if (part->second.stage != PartStage::Remote || part->second.sentTo != peer) {
                    ++part;
                } else if (submission.request.idempotent) {
                    part->second.mayHaveRun = true;
                    this->returnToWaiting(part->second, Refusal::ConnectionLost);
                    this->countRetry("link-lost");
                    ++part;
                } else {
                    ended.push_back({ submission.callback,
                                      endedPart(part->first, AttemptOutcome::Unknown, Refusal::ConnectionLost) });
                    part = submission.parts.erase(part);
                }
            }
        }
    }
    for (const Ended &end : ended) {
        end.callback(end.outcome);
    }
}

void OwnerRouter::onTick()
{
    std::vector<Ended> ended;
    std::vector<Cancel> cancels;
    std::vector<std::uint64_t> due;
    {
        const std::lock_guard lock(this->mutex);
        const TimePoint now = this->clock.now();
        for (auto entry = this->submissions.begin(); entry != this->submissions.end();) {
            const std::uint64_t id = entry->first;
            Submission &submission = entry->second;
            ++entry;
            if (now >= submission.deadline) {
                this->endAtDeadline(submission, ended, cancels);
                this->eraseIfEmpty(id);
                continue;
            }
            this->followMovedOwners(submission, cancels);
            for (const auto &[group, part] : submission.parts) {
                if (part.stage == PartStage::Waiting && part.notBefore <= now) {
                    due.push_back(id);
                    break;
                }
            }
        }
    }
    this->carryOut(cancels);
    for (const Ended &end : ended) {
        end.callback(end.outcome);
    }
    for (const std::uint64_t id : due) {
        this->dispatch(id);
    }
}

void OwnerRouter::endAtDeadline(Submission &submission, std::vector<Ended> &ended, std::vector<Cancel> &cancels)
{
    for (const auto &[group, part] : submission.parts) {
        this->addCancel(submission, group, part, cancels);
        const bool neverRan = part.stage == PartStage::Waiting && !part.mayHaveRun;
        const AttemptOutcome outcome = neverRan ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
        ended.push_back({ submission.callback,
                          endedPart(group, outcome, neverRan ? part.lastRefusal : Refusal::DeadlineExceeded) });
    }
    submission.parts.clear();
}

void OwnerRouter::followMovedOwners(Submission &submission, std::vector<Cancel> &cancels)
{
    if (!submission.request.idempotent) {
        return;
    }
    for (auto &[group, part] : submission.parts) {
        if (part.stage != PartStage::Remote || this->directory.responsive(part.sentTo)) {
            continue;
        }
        const auto holder = this->directory.holder(groupResource(submission.request.pool, group));
        if (!holder || *holder == part.sentTo) {
            continue;
        }
        this->addCancel(submission, group, part, cancels);
        part.mayHaveRun = true;
        this->returnToWaiting(part, Refusal::ConnectionLost);
        part.notBefore = this->clock.now();
        this->countRetry("owner-silent");
    }
}

void OwnerRouter::addCancel(const Submission &submission,
                            const GroupId &group,
                            const RoutedPart &part,
                            std::vector<Cancel> &cancels) const
{
    if (part.stage != PartStage::Waiting) {
        cancels.push_back({ part.sentTo, part.wireId, submission.request.pool, group, part.task });
    }
}

void OwnerRouter::carryOut(const std::vector<Cancel> &cancels)
{
    std::map<std::uint64_t, std::pair<InstanceId, SubCancel>> messages;
    for (const Cancel &cancel : cancels) {
        if (cancel.peer == this->self) {
            this->local.cancel(cancel.pool, cancel.group, cancel.task);
            continue;
        }
        auto &[peer, message] = messages[cancel.wireId];
        peer = cancel.peer;
        message.id = cancel.wireId;
        message.parts.push_back(cancel.group);
    }
    for (const auto &[wireId, addressed] : messages) {
        this->transport.send(addressed.first, addressed.second);
    }
}

void OwnerRouter::eraseIfEmpty(std::uint64_t id)
{
    const auto entry = this->submissions.find(id);
    if (entry == this->submissions.end() || !entry->second.parts.empty()) {
        return;
    }
    for (const std::uint64_t wireId : entry->second.wireIds) {
        this->submissionByWireId.erase(wireId);
    }
    this->submissions.erase(entry);
}

void OwnerRouter::countRetry(std::string_view reason)
{
    this->counters.counter("lycheewall_routing_retries_total", reason).add();
}

std::size_t OwnerRouter::pending() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t parts = 0;
    for (const auto &[id, submission] : this->submissions) {
        parts += submission.parts.size();
    }
    return parts;
}

}
