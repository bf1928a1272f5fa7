#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "peer/codec/peertransport.h"
#include "routing/ownerdirectory.h"
#include "routing/submission.h"

#include <map>
#include <mutex>
#include <vector>

namespace Lycheewall
{

/**
 * Sends the parts of requests to the owners of their groups and follows ownership while it moves.
 *
 * A part is sent again only when it certainly did not run, or when it is idempotent and its owner is lost. Each part
 * ends exactly once: with the owner's answer, or at the deadline.
 * Thread safety: any thread. Callbacks run without a lock held.
 */
class OwnerRouter : public PartRouter
{
public:
    /// Wait before a part that found no owner is sent again.
    static constexpr Duration retryDelay = Milliseconds(30);
    /// Period of the check for deadlines, waiting parts and moved owners.
    static constexpr Duration tick = Milliseconds(10);
    /// Named holders that are followed at once, one after the other, before a part waits.
    static constexpr int maxRedirects = 2;

    /// All references must outlive the router.
    OwnerRouter(InstanceId selfId,
                const Clock &timeSource,
                TimerService &timers,
                PeerTransport &peerTransport,
                const OwnerDirectory &ownerDirectory,
                LocalGroups &localGroups,
                Counters &counterRegistry);

    std::uint64_t submit(PartRequest request, std::function<void(PartOutcome)> callback) override;

    /// Ends the parts that are left without a callback.
    void cancel(std::uint64_t id) override;

    /// Takes a peer's answer to a part. Answers that nobody waits for are counted and dropped.
    void handle(const InstanceId &from, const SubAnswer &answer);

    /// The link to a peer broke, so its answers will not come.
    void peerLost(const InstanceId &peer);

    /// Parts that have not ended.
    std::size_t pending() const;

private:
    struct LocalSend
    {
        std::uint64_t submission;
        GroupId group;
    };
    struct RemoteSend
    {
        std::uint64_t submission;
        InstanceId peer;
        SubRequest message;
    };
    struct Work
    {
        std::vector<LocalSend> local;
        std::vector<RemoteSend> remote;
    };
    struct Ended
    {
        std::function<void(PartOutcome)> callback;
        PartOutcome outcome;
    };
    struct Cancel
    {
        InstanceId peer;
        std::uint64_t wireId;
        PoolId pool;
        GroupId group;
        TaskId task;
    };

    void dispatch(std::uint64_t id);
    Work collect(std::uint64_t id);
    void addRemote(Work &work, std::uint64_t id, Submission &submission, const GroupId &group, const InstanceId &peer);
    void sendLocal(const LocalSend &send);
    void sendRemote(const RemoteSend &send);
    /// Cancels parts of a sent frame that ended, or went elsewhere, before the frame was handed over. A part that the
    /// peer has already answered is named too; the peer ignores that.
    void cancelOvertaken(const RemoteSend &send);
    /// The part when it is still with whoever got it as @p wireId, else null. Call with the lock held.
    RoutedPart *findSent(std::uint64_t id, const GroupId &group, std::uint64_t wireId);
    void localEnded(std::uint64_t id, const GroupId &group, std::uint64_t wireId, const GroupOutcome &outcome);
    void partEnded(std::uint64_t id,
                   const InstanceId &from,
                   std::uint64_t wireId,
                   PartOutcome outcome,
                   const std::optional<InstanceId> &holder);
    bool sendAgain(const Submission &submission,
                   RoutedPart &part,
                   const PartOutcome &outcome,
                   const std::optional<InstanceId> &holder);
    void returnToWaiting(RoutedPart &part, Refusal why);
    void onTick();
    void endAtDeadline(Submission &submission, std::vector<Ended> &ended, std::vector<Cancel> &cancels);
    void followMovedOwners(Submission &submission, std::vector<Cancel> &cancels);
    void addCancel(const Submission &submission,
                   const GroupId &group,
                   const RoutedPart &part,
                   std::vector<Cancel> &cancels) const;
    void carryOut(const std::vector<Cancel> &cancels);
    void eraseIfEmpty(std::uint64_t id);
    void countRetry(std::string_view reason);

    const InstanceId self;
    const Clock &clock;
    PeerTransport &transport;
    const OwnerDirectory &directory;
    LocalGroups &local;
    Counters &counters;
    mutable std::mutex mutex;
    std::uint64_t lastId = 0;
    std::uint64_t lastWireId = 0;
    std::map<std::uint64_t, Submission> submissions;
    /// Submission of each frame that a peer has not fully answered.
    std::map<std::uint64_t, std::uint64_t> submissionByWireId;
    Subscription timer;
};

}
