#include "forwarding/fanoutexchange.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/refusalreply.h"
#include "forwarding/retrypolicy.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Interval at which shards that the relaying instance has not delivered are hedged with direct calls, and the multiple
/// of the latency objective after which its responses are not waited for any more.
constexpr Duration relayHedgeInterval = Milliseconds(10);
constexpr int relayDeadlineObjectives = 2;

}

std::shared_ptr<Exchange>
FanoutExchange::start(ForwardingContext &context, const AdmittedRequest &request, ReplyCallback done)
{
    const std::shared_ptr<FanoutExchange> exchange(new FanoutExchange(context, request, std::move(done)));
    exchange->startShardRequests();
    if (!exchange->finished) {
        exchange->startTimers();
    }
    return exchange;
}

FanoutExchange::FanoutExchange(ForwardingContext &exchangeContext, AdmittedRequest admitted, ReplyCallback callback)
    : ResponseMemory::Holder(ResponseMemory::Content::CompleteResponses)
    , context(exchangeContext)
    , request(std::move(admitted))
    , done(std::move(callback))
    , calls(this->request.route->shards.size())
    , signatures(this->request.route->shards.size())
    , records(this->request.route->maxRecords)
    , memory(exchangeContext.responseMemory)
    , shards(this->request.route->shards.size(), this->request.route->requiredShards())
    , measuredShard(this->context.random.uniformInteger(this->request.route->shards.size()))
    , recordsResults(this->context.overloadControl.needsResults(this->request))
{
    for (const ServiceId &service : this->request.route->shards) {
        this->targets.emplace_back(service);
    }
}

FanoutExchange::~FanoutExchange()
{
    this->memory->update(*this, 0);
}

void FanoutExchange::startShardRequests()
{
    const ShardSelection selection = selectShards(this->context, this->request);
    if (selection.retryAfter) {
        this->refuseThrottled(*selection.retryAfter);
        return;
    }
    this->startRelay(selection.skipped);
    for (std::size_t shard = 0; shard < this->shards.count() && !this->finished; ++shard) {
        const auto skipped = selection.skipped.find(shard);
        if (skipped != selection.skipped.end()) {
            this->context.counters.counter("lycheewall_forwarding_parts_not_asked_total", refusalCode(skipped->second))
                .add();
            ServiceResult result;
            result.reason = skipped->second;
            this->handleShardResult(shard, result);
        } else if (this->relayedShards.count(shard) == 0) {
            this->startShardCall(shard, false);
        }
    }
}

void FanoutExchange::refuseThrottled(Duration retryAfter)
{
    ServiceResult result;
    result.reason = Refusal::EndpointThrottled;
    result.retryAfter = retryAfter;
    this->context.counters.countRefusal(result.reason);
    this->context.requestLog.write(*this->request.request,
                                   std::string(refusalCode(result.reason)),
                                   "route=" + this->request.route->name
                                       + " retry-after-ms=" + std::to_string(toMilliseconds(retryAfter)));
    this->reply(makeRefusalReply(result));
}

void FanoutExchange::startShardCall(std::size_t shard, bool isHedge)
{
    const CallTarget &target = this->targets[shard];
    const auto done = [self = this->shared_from_this(), shard](const ServiceResult &result) {
        self->handleShardResult(shard, result);
    };
    auto call = isHedge ? ServiceCall::startHedge(this->context, this->request, target, this->relayZone, done)
                        : ServiceCall::start(this->context, this->request, target, done);
    if (this->finished) {
        call->cancel();
        return;
    }
    this->calls[shard] = std::move(call);
}

void FanoutExchange::startRelay(const SkippedShards &skipped)
{
    const std::vector<ServiceId> remoteShards = relayableShards(this->context, this->request, skipped);
    if (remoteShards.empty()) {
        return;
    }
    const auto target = this->context.relay->selectTarget(remoteShards);
    if (!target) {
        return;
    }
    this->pendingRelay = this->context.relay->send(
        *target, this->request, [weak = this->weak_from_this()](const RelayResponse &response) {
            if (const auto self = weak.lock()) {
                self->handleRelayResponse(response);
            }
        });
    if (!this->pendingRelay) {
        return;
    }
    this->relayInstance = target->instance;
    this->relayZone = target->zone;
    for (const ServiceId &service : target->services) {
        this->relayedShards.insert(this->shardIndexOf(service));
    }
    // The relaying instance responds at the latest when the hedge is due.
    const Duration relayTimeout = hedgeDelay(this->context, this->request) + 3 * interZoneRoundTrip;
    this->relayTimer
        = this->context.timers.after(relayTimeout, [self = this->shared_from_this()] { self->handleRelayTimeout(); });
}

std::size_t FanoutExchange::shardIndexOf(const ServiceId &service) const
{
    const std::vector<ServiceId> &shards = this->request.route->shards;
    return static_cast<std::size_t>(std::find(shards.begin(), shards.end(), service) - shards.begin());
}

void FanoutExchange::handleRelayResponse(const RelayResponse &response)
{
    if (this->finished) {
        return;
    }
    this->relayTimer.reset();
    this->isRelayFinished = response.isFinal;
    if (!response.isRefused) {
        this->reportedExecution = combined(this->reportedExecution, Execution::Unknown);
    }
    // The records of these shards are already merged, so they replace direct responses that have arrived meanwhile;
    // otherwise records would count twice.
    bool isFirst = true;
    for (const RelayResponse::Shard &relayedShard : response.shards) {
        const std::size_t shard = this->shardIndexOf(relayedShard.service);
        if (this->relayedShards.count(shard) == 0) {
            continue;
        }
        this->signatures[shard] = relayedShard.signature;
        this->records.setReplaceable(shard, isFirst ? response.records : std::string());
        isFirst = false;
        this->shards.set(shard, ShardState::Succeeded);
    }
    if (response.isRefused) {
        this->logRelayRefusal();
        this->callRelayedShardsDirectly();
    } else {
        this->recordRelayedFirstAttempts();
        this->hedgeRelayedShards();
    }
}

void FanoutExchange::logRelayRefusal()
{
    if (this->hasRelayTimedOut) {
        this->context.counters.counter("lycheewall_relay_late_refusals_total").add();
    }
    this->context.requestLog.write(*this->request.request,
                                   this->hasRelayTimedOut ? "relay-refused-late" : "relay-refused",
                                   this->describeMissing());
}

void FanoutExchange::recordRelayedFirstAttempts()
{
    for (const std::size_t shard : this->relayedShards) {
        ServiceCall::recordFirstAttempt(this->context, this->targets[shard]);
    }
}

void FanoutExchange::callRelayedShardsDirectly()
{
    const std::set<std::size_t> pendingShards = std::move(this->relayedShards);
    this->relayedShards.clear();
    for (const std::size_t shard : pendingShards) {
        if (this->finished || !this->shards.isPending(shard)) {
            continue;
        }
        if (this->isCallInFlight(shard)) {
            this->calls[shard]->takeOverAttempts();
        } else {
            this->startShardCall(shard, false);
        }
    }
}

bool FanoutExchange::isCallInFlight(std::size_t shard) const
{
    return this->calls[shard] && !this->calls[shard]->isFinished();
}

bool FanoutExchange::canHedgeShard(std::size_t shard) const
{
    const bool wasSent = this->targets[shard].attempts->sent > 0;
    return this->shards.isPending(shard) && !this->isCallInFlight(shard) && !wasSent;
}

void FanoutExchange::handleRelayTimeout()
{
    if (this->finished) {
        return;
    }
    this->hasRelayTimedOut = true;
    this->context.relay->handleTimeout(this->relayInstance);
    this->reportedExecution = combined(this->reportedExecution, Execution::Unknown);
    this->recordRelayedFirstAttempts();
    this->hedgeRelayedShards();
}

void FanoutExchange::hedgeRelayedShards()
{
    const TimePoint relayDeadline
        = this->request.request->arrivedAt + relayDeadlineObjectives * this->request.route->latencyObjective;
    this->isRelayFinished = this->isRelayFinished || this->context.clock.now() >= relayDeadline;
    bool isAnyPending = false;
    for (const std::size_t shard : this->relayedShards) {
        if (this->canHedgeShard(shard)) {
            this->startShardCall(shard, true);
        }
        if (this->finished) {
            return;
        }
        if (this->isRelayFinished && !this->isCallInFlight(shard)) {
            this->shards.set(shard, ShardState::Failed);
        }
        isAnyPending = isAnyPending || this->shards.isPending(shard);
    }
    if (isAnyPending && !this->isRelayFinished) {
        // Without retry budget the shards stay pending: budget may become available, or the relaying instance may
        // respond.
        this->relayTimer = this->context.timers.after(
            relayHedgeInterval, [self = this->shared_from_this()] { self->hedgeRelayedShards(); });
    }
    this->replyOrWait();
}

void FanoutExchange::startTimers()
{
    const TimePoint now = this->context.clock.now();
    const TimePoint objective
        = this->request.request->arrivedAt + this->request.route->latencyObjective - callerRoundTrip;
    const TimePoint deadline = this->request.deadline - deadlineMargin;
    const auto self = this->shared_from_this();
    this->objectiveTimer
        = this->context.timers.after(std::max(objective - now, Duration::zero()), [self] { self->handleObjective(); });
    this->deadlineTimer
        = this->context.timers.after(std::max(deadline - now, Duration::zero()), [self] { self->handleDeadline(); });
}

void FanoutExchange::handleShardResult(std::size_t shard, const ServiceResult &result)
{
    if (this->finished || this->shards.hasSucceeded(shard)) {
        return;
    }
    this->reportedExecution = combined(this->reportedExecution, result.execution);
    this->recordShardResult(shard, result);
    if (result.success) {
        this->signatures[shard] = result.response->signature;
        // Records of relayed shards may still be replaced by those of the relaying instance.
        if (this->relayedShards.count(shard) > 0) {
            this->records.setReplaceable(shard, result.response->body);
        } else {
            this->records.add(result.response->body);
        }
        this->shards.set(shard, ShardState::Succeeded);
    } else if (this->relayedShards.count(shard) > 0 && !this->isRelayFinished) {
        // The relaying instance may still deliver the shard.
        return;
    } else {
        this->shards.set(shard, ShardState::Failed);
        this->refusalReason = result.reason;
    }
    this->replyOrWait();
}

void FanoutExchange::replyOrWait()
{
    this->replyIfComplete();
    if (this->finished) {
        return;
    }
    this->memory->update(*this, this->records.bytes());
}

void FanoutExchange::giveUpResponse()
{
    const auto self = this->shared_from_this();
    if (this->records.dropSurplus()) {
        this->memory->update(*this, this->records.bytes());
        return;
    }
    this->context.counters.counter("lycheewall_forwarding_queries_given_up_total").add();
    this->context.requestLog.write(*this->request.request,
                                   "given-up",
                                   "held-bytes=" + std::to_string(this->records.bytes()) + ' '
                                       + this->describeMissing());
    if (this->shards.hasRequiredCoverage()) {
        this->replyMerged();
        return;
    }
    this->recordSilentShards();
    this->replyRefusal();
}

void FanoutExchange::recordShardResult(std::size_t shard, const ServiceResult &result)
{
    if (!this->recordsResults) {
        return;
    }
    // Without room or rate left, the shard was not asked, or its endpoints take requests again soon.
    if (result.reason == Refusal::QueueFull || result.reason == Refusal::EndpointThrottled) {
        return;
    }
    const TimePoint now = this->context.clock.now();
    this->context.overloadControl.recordShard(this->request, shard, result.success, now);
    // One shard stands for all of a query. After an attempt to relay it, the latency would include that.
    if (result.success && shard == this->measuredShard && !this->pendingRelay) {
        this->context.overloadControl.recordLatency(
            this->request, this->request.route->shards[shard], now - this->request.request->arrivedAt, now);
    }
}

void FanoutExchange::recordSilentShards()
{
    if (!this->recordsResults) {
        return;
    }
    const TimePoint now = this->context.clock.now();
    // A caller that waits for less than the latency objective does not tell that the shards are silent.
    if (now - this->request.request->arrivedAt < this->request.route->latencyObjective) {
        return;
    }
    for (std::size_t shard = 0; shard < this->shards.count(); ++shard) {
        if (this->shards.isPending(shard) && this->isCallInFlight(shard)) {
            this->context.overloadControl.recordShard(this->request, shard, false, now);
        }
    }
}

void FanoutExchange::replyIfComplete()
{
    if (!this->shards.canReachRequiredCoverage()) {
        this->replyRefusal();
        return;
    }
    if (this->shards.hasRequiredCoverage() && (this->shards.areAllFinished() || this->isObjectivePassed)) {
        this->replyMerged();
    }
}

void FanoutExchange::handleObjective()
{
    if (this->finished) {
        return;
    }
    this->isObjectivePassed = true;
    if (this->shards.hasRequiredCoverage()) {
        this->replyMerged();
    }
}

void FanoutExchange::handleDeadline()
{
    if (this->finished) {
        return;
    }
    if (this->shards.hasRequiredCoverage()) {
        this->replyMerged();
        return;
    }
    this->recordSilentShards();
    this->context.requestLog.write(*this->request.request, "deadline", this->describeMissing());
    this->reply(makeDeadlineReply(this->knownExecution()));
}

void FanoutExchange::finishEarly()
{
    this->handleDeadline();
}

Execution FanoutExchange::knownExecution() const
{
    // The relaying instance sends the request to endpoints of its zone.
    const bool isRelayed = !this->relayedShards.empty();
    Execution execution = isRelayed ? combined(this->reportedExecution, Execution::Unknown) : this->reportedExecution;
    for (const std::shared_ptr<ServiceCall> &call : this->calls) {
        if (call) {
            execution = combined(execution, call->interimResult().execution);
        }
    }
    return execution;
}

void FanoutExchange::replyMerged()
{
    MergedResponse merged;
    for (std::size_t shard = 0; shard < this->shards.count(); ++shard) {
        if (this->shards.hasSucceeded(shard)) {
            merged.signatures.push_back(this->signatures[shard]);
        }
    }
    merged.missingShards = this->shards.count() - merged.signatures.size();
    merged.body = this->records.merged();
    if (merged.missingShards > 0 || this->isObjectivePassed) {
        this->context.requestLog.write(
            *this->request.request, merged.missingShards > 0 ? "partial" : "late", this->describeMissing());
    }
    if (merged.missingShards > 0) {
        this->context.counters.counter("lycheewall_forwarding_missing_parts_total").add(merged.missingShards);
    }
    if (this->recordsResults) {
        this->context.overloadControl.recordCoverage(
            this->request, this->shards.succeededCount(), this->context.clock.now());
    }
    this->reply(ForwardReply::fromMerged(std::move(merged)));
}

void FanoutExchange::replyRefusal()
{
    ServiceResult result;
    result.execution = this->knownExecution();
    result.reason = this->refusalReason;
    this->context.requestLog.write(*this->request.request, "failed", this->describeMissing());
    this->reply(makeRefusalReply(result));
}

std::string FanoutExchange::describeMissing() const
{
    std::string text = "route=" + this->request.route->name + " version="
        + std::to_string(this->request.table->version()) + " parts=" + std::to_string(this->shards.succeededCount())
        + '/' + std::to_string(this->shards.count()) + " missing=";
    for (std::size_t shard = 0; shard < this->calls.size(); ++shard) {
        if (this->shards.hasSucceeded(shard)) {
            continue;
        }
        const ServiceId &service = this->request.route->shards[shard];
        if (this->relayedShards.count(shard) > 0) {
            text += service.value() + ":relayed-to-" + this->relayInstance.value() + ';';
        }
        if (this->calls[shard]) {
            text += this->calls[shard]->describe() + ';';
        } else if (this->relayedShards.count(shard) == 0) {
            text += service.value() + ":not-asked;";
        }
    }
    return text;
}

void FanoutExchange::reply(const ForwardReply &reply)
{
    if (this->finished) {
        return;
    }
    const ReplyCallback callback = std::move(this->done);
    this->cancel();
    callback(reply);
}

void FanoutExchange::cancel()
{
    this->finished = true;
    this->done = nullptr;
    this->records.clear();
    this->memory->update(*this, 0);
    this->pendingRelay.reset();
    this->relayTimer.reset();
    this->objectiveTimer.reset();
    this->deadlineTimer.reset();
    for (const auto &call : this->calls) {
        if (call) {
            call->cancel();
        }
    }
}

}
