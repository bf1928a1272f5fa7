#pragma once

#include "forwarding/exchange.h"
#include "forwarding/servicecall.h"
#include "forwarding/shardrecords.h"
#include "forwarding/shardselection.h"
#include "forwarding/shardstates.h"

#include <set>

namespace Lycheewall
{

/**
 * A request to all shards of an index, whose responses are merged into one reply. The reply is complete when all shards
 * have responded. When the route's latency objective is reached, a reply that covers at least Route::minShardRatio of
 * the shards is sent without the missing ones and states their number; after the objective, the reply is sent as soon
 * as this coverage is reached. selectShards() decides which shards are skipped from the start, and whether the query is
 * refused at once because too many shards take no more requests. A query whose responses hold too much memory ends
 * early. Thread safety: none; used on the thread of the request loop.
 */
class FanoutExchange : public Exchange,
                       public std::enable_shared_from_this<FanoutExchange>,
                       private ResponseMemory::Holder
{
public:
    /// @p done is called once, possibly from within start(), unless the exchange is cancelled first.
    static std::shared_ptr<Exchange>
    start(ForwardingContext &context, const AdmittedRequest &request, ReplyCallback done);

    ~FanoutExchange() override;
    FanoutExchange(const FanoutExchange &) = delete;
    FanoutExchange &operator=(const FanoutExchange &) = delete;

    void finishEarly() override;
    void cancel() override;

private:
    FanoutExchange(ForwardingContext &context, AdmittedRequest request, ReplyCallback done);

    void startShardRequests();
    void startShardCall(std::size_t shard, bool isHedge);
    void startRelay(const SkippedShards &skipped);
    void handleRelayResponse(const RelayResponse &response);
    void handleRelayTimeout();
    void hedgeRelayedShards();
    /// Records a first attempt for each relayed shard in the retry budget. The relaying instance records none for them.
    void recordRelayedFirstAttempts();
    /// Logs a refusal of the relaying instance, with the direct calls that were made before it arrived.
    void logRelayRefusal();
    void callRelayedShardsDirectly();
    bool isCallInFlight(std::size_t shard) const;
    bool canHedgeShard(std::size_t shard) const;
    std::size_t shardIndexOf(const ServiceId &service) const;
    void refuseThrottled(Duration retryAfter);
    void startTimers();
    void handleShardResult(std::size_t shard, const ServiceResult &result);
    /// Records the result of a call for the decisions about later requests.
    void recordShardResult(std::size_t shard, const ServiceResult &result);
    /// Records the shards that have not responded by the deadline.
    void recordSilentShards();
    /// Replies, if that is possible. Otherwise reports what the query holds while it waits, which may give it up.
    void replyOrWait();
    /// Called when memory is short. Drops the records that the reply cannot contain if they hold at least half of the
    /// memory. Otherwise replies at once: without the missing shards if the coverage suffices, else with a refusal.
    void giveUpResponse() override;
    void replyIfComplete();
    void handleObjective();
    void handleDeadline();
    /// What is known of the execution of the request at any shard.
    Execution knownExecution() const;
    void replyMerged();
    void replyRefusal();
    std::string describeMissing() const;
    void reply(const ForwardReply &reply);

    ForwardingContext &context;
    AdmittedRequest request;
    ReplyCallback done;
    /// By shard; nullptr for a shard that was skipped or that was sent to the relaying instance only.
    std::vector<std::shared_ptr<ServiceCall>> calls;
    /// By shard: the service and the attempts of this instance, by one or several calls.
    std::vector<CallTarget> targets;
    /// By shard: signature of its response.
    std::vector<std::string> signatures;
    /// Of the shards that one relay response covers, the first one has the merged records of all.
    ShardRecords records;
    std::shared_ptr<ResponseMemory> memory;
    ShardStates shards;
    /// The shard whose latency is recorded.
    std::size_t measuredShard;
    /// True if overload control needs the results of the shards.
    bool recordsResults;
    /// What the shard results and the relaying instance have told so far.
    Execution reportedExecution = Execution::NotRun;
    Refusal refusalReason = Refusal::None;
    bool isObjectivePassed = false;
    bool finished = false;
    InstanceId relayInstance;
    ZoneId relayZone;
    std::set<std::size_t> relayedShards;
    /// True if no further response of the relaying instance is expected.
    bool isRelayFinished = false;
    bool hasRelayTimedOut = false;
    std::unique_ptr<PendingRelay> pendingRelay;
    Subscription relayTimer;
    Subscription objectiveTimer;
    Subscription deadlineTimer;
};

}
