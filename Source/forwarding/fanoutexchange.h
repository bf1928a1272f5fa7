#pragma once

#include "forwarding/exchange.h"
#include "forwarding/servicecall.h"

#include <set>

namespace Lycheewall
{

/**
 * A request that all shards of an index answer together. The answer is whole when all parts are in. At the route's
 * objective, an answer that covers enough shards is given without the missing ones, and says how many are missing;
 * after it, the answer is given as soon as it covers enough. Shards whose endpoints are all so loaded that their part
 * would come after the objective are not asked, as far as the answer can do without them: more work would only keep
 * them from answering anyone in time.
 * Thread safety: none; used on the thread of the request loop.
 */
class FanoutExchange : public Exchange, public std::enable_shared_from_this<FanoutExchange>
{
public:
    /// @p done is called once, possibly from within start().
    static std::shared_ptr<Exchange>
    start(ForwardingContext &context, const AdmittedRequest &request, ReplyCallback done);

    void cancel() override;

private:
    FanoutExchange(ForwardingContext &context, AdmittedRequest request, ReplyCallback done);

    enum class PartState { Open, Answered, Failed };

    void startParts();
    void startCall(std::size_t shard, bool isRepeat);
    void startRelay(const std::set<std::size_t> &overloaded);
    void relayAnswered(const RelayResponse &answer);
    void relaySilent();
    void askForMissingParts();
    /// Earns the budget of second sends for the relayed parts, once; the collecting instance earns none for them.
    void countRelayed();
    void askDirectly();
    bool isRunning(std::size_t shard) const;
    bool mayAskDirectly(std::size_t shard) const;
    std::size_t shardOf(const ServiceId &service) const;
    std::set<std::size_t> overloadedShards() const;
    void armTimers();
    void partEnded(std::size_t shard, const ServiceResult &result);
    void setState(std::size_t shard, PartState state);
    void replyIfDone();
    void objectiveReached();
    void deadlineReached();
    /// True if an answer with so many shards covers what the route demands.
    bool suffices(std::size_t shards) const;
    bool coversEnough() const;
    bool canCoverEnough() const;
    void replyMerged();
    void replyRefusal();
    std::string describeMissing() const;
    void reply(const ForwardReply &reply);

    ForwardingContext &context;
    AdmittedRequest request;
    ReplyCallback done;
    /// One for each shard; null for a shard that is left out from the start.
    std::vector<std::shared_ptr<ServiceCall>> calls;
    /// Stamp and records of each shard that has answered. Of parts that came merged, the first one holds all records.
    std::vector<EndpointResponse> parts;
    std::vector<PartState> states;
    std::size_t answered = 0;
    std::size_t failed = 0;
    /// True when some endpoint may have run its part.
    bool mayHaveRun = false;
    Refusal reason = Refusal::None;
    bool late = false;
    bool finished = false;
    InstanceId relayInstance;
    ZoneId relayZone;
    std::set<std::size_t> relayed;
    /// No answer of the other instance is expected any more.
    bool relayEnded = false;
    bool relayedCounted = false;
    std::unique_ptr<PendingRelay> relayWait;
    Subscription relayTimer;
    Subscription objectiveTimer;
    Subscription deadlineTimer;
};

}
