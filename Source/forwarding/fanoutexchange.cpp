#include "forwarding/fanoutexchange.h"

#include "forwarding/forwardingtimes.h"
#include "forwarding/refusalreply.h"
#include "forwarding/topmerge.h"

#include <algorithm>
#include <functional>
#include <map>

namespace Lycheewall
{

namespace
{

/// Pause between tries to ask directly for parts that another instance was to collect, and the multiple of the
/// objective after which such parts are given up.
constexpr Duration relayPause = Milliseconds(10);
constexpr int relayObjectives = 2;
/// Guards the comparison of shares against rounding.
constexpr double ratioTolerance = 1e-9;

}

std::shared_ptr<Exchange>
FanoutExchange::start(ForwardingContext &context, const AdmittedRequest &request, ReplyCallback done)
{
    const std::shared_ptr<FanoutExchange> exchange(new FanoutExchange(context, request, std::move(done)));
    exchange->startParts();
    if (!exchange->finished) {
        exchange->armTimers();
    }
    return exchange;
}

FanoutExchange::FanoutExchange(ForwardingContext &exchangeContext, AdmittedRequest admitted, ReplyCallback callback)
    : context(exchangeContext)
    , request(std::move(admitted))
    , done(std::move(callback))
    , calls(this->request.route->shards.size())
    , parts(this->request.route->shards.size())
    , states(this->request.route->shards.size(), PartState::Open)
{
}

std::set<std::size_t> FanoutExchange::overloadedShards() const
{
    const Route &route = *this->request.route;
    const TimePoint now = this->context.clock.now();
    const Duration left = this->request.request->arrivedAt + route.latencyObjective - callerRoundTrip - now;
    const Duration usual = ServiceCall::typicalLatency(this->context, route);
    std::multimap<Duration, std::size_t, std::greater<>> late;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const auto time = this->context.chooser.lowestEstimatedLatency(route.shards[shard], usual, now);
        if (time && *time > left) {
            late.emplace(*time, shard);
        }
    }
    const auto all = static_cast<double>(route.shards.size());
    auto spare = static_cast<std::size_t>((1 - route.minShardRatio) * all + ratioTolerance);
    std::set<std::size_t> overloaded;
    for (auto entry = late.begin(); entry != late.end() && spare > 0; ++entry, --spare) {
        overloaded.insert(entry->second);
    }
    return overloaded;
}

void FanoutExchange::startParts()
{
    const std::set<std::size_t> overloaded = this->overloadedShards();
    this->startRelay(overloaded);
    for (std::size_t shard = 0; shard < this->states.size() && !this->finished; ++shard) {
        if (overloaded.count(shard) > 0) {
            this->context.counters.counter("lycheewall_forwarding_parts_not_asked_total").add();
            ServiceResult result;
            result.reason = Refusal::QueueFull;
            this->partEnded(shard, result);
        } else if (this->relayed.count(shard) == 0) {
            this->startCall(shard, false);
        }
    }
}

void FanoutExchange::startCall(std::size_t shard, bool isRepeat)
{
    const ServiceId &service = this->request.route->shards[shard];
    const auto done = [self = this->shared_from_this(), shard](const ServiceResult &result) {
        self->partEnded(shard, result);
    };
    auto call = isRepeat ? ServiceCall::startHedge(this->context, this->request, service, this->relayZone, done)
                         : ServiceCall::start(this->context, this->request, service, done);
    if (this->finished) {
        call->cancel();
        return;
    }
    this->calls[shard] = std::move(call);
}

void FanoutExchange::startRelay(const std::set<std::size_t> &overloaded)
{
    // The other instance and this one share the attempts that the route allows.
    if (this->context.relay == nullptr || this->request.route->maxAttempts < 2) {
        return;
    }
    const std::vector<ServiceId> &shards = this->request.route->shards;
    const TimePoint now = this->context.clock.now();
    std::vector<ServiceId> far;
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        if (overloaded.count(shard) == 0 && !this->context.chooser.hasHealthyLocalEndpoint(shards[shard], now)) {
            far.push_back(shards[shard]);
        }
    }
    const auto target = this->context.relay->selectTarget(far);
    if (!target) {
        return;
    }
    this->relayWait = this->context.relay->send(
        *target, this->request, [weak = this->weak_from_this()](const RelayResponse &answer) {
            if (const auto self = weak.lock()) {
                self->relayAnswered(answer);
            }
        });
    if (!this->relayWait) {
        return;
    }
    this->relayInstance = target->instance;
    this->relayZone = target->zone;
    for (const ServiceId &service : target->services) {
        this->relayed.insert(this->shardOf(service));
    }
    // The other instance answers at the latest when a second attempt is due.
    const Duration silence = ServiceCall::hedgeDelay(this->context, this->request) + 3 * interZoneRoundTrip;
    this->relayTimer = this->context.timers.after(silence, [self = this->shared_from_this()] { self->relaySilent(); });
}

std::size_t FanoutExchange::shardOf(const ServiceId &service) const
{
    const std::vector<ServiceId> &shards = this->request.route->shards;
    return static_cast<std::size_t>(std::find(shards.begin(), shards.end(), service) - shards.begin());
}

void FanoutExchange::relayAnswered(const RelayResponse &answer)
{
    if (this->finished) {
        return;
    }
    this->relayTimer.reset();
    this->relayEnded = answer.isFinal;
    this->mayHaveRun = this->mayHaveRun || !answer.isRefused;
    // The records of these parts came merged, so they replace what was asked for directly meanwhile.
    bool isFirst = true;
    for (const RelayResponse::Shard &part : answer.shards) {
        const std::size_t shard = this->shardOf(part.service);
        if (this->relayed.count(shard) == 0) {
            continue;
        }
        this->parts[shard] = EndpointResponse();
        this->parts[shard].signature = part.signature;
        if (isFirst) {
            this->parts[shard].body = answer.records;
            isFirst = false;
        }
        this->setState(shard, PartState::Answered);
    }
    if (answer.isRefused) {
        this->askDirectly();
    } else {
        this->countRelayed();
        this->askForMissingParts();
    }
}

void FanoutExchange::countRelayed()
{
    if (this->relayedCounted) {
        return;
    }
    this->relayedCounted = true;
    for (const std::size_t shard : this->relayed) {
        this->context.retryBudget.recordFirstAttempt(this->request.route->shards[shard]);
    }
}

void FanoutExchange::askDirectly()
{
    const std::set<std::size_t> mine = std::move(this->relayed);
    this->relayed.clear();
    for (const std::size_t shard : mine) {
        if (!this->finished && this->states[shard] == PartState::Open) {
            this->startCall(shard, false);
        }
    }
}

bool FanoutExchange::isRunning(std::size_t shard) const
{
    return this->calls[shard] && !this->calls[shard]->isFinished();
}

bool FanoutExchange::mayAskDirectly(std::size_t shard) const
{
    const bool wasAsked = this->calls[shard] && this->calls[shard]->hasSent();
    return this->states[shard] == PartState::Open && !this->isRunning(shard) && !wasAsked;
}

void FanoutExchange::relaySilent()
{
    if (this->finished) {
        return;
    }
    this->context.relay->handleTimeout(this->relayInstance);
    this->mayHaveRun = true;
    this->countRelayed();
    this->askForMissingParts();
}

void FanoutExchange::askForMissingParts()
{
    const TimePoint giveUp = this->request.request->arrivedAt + relayObjectives * this->request.route->latencyObjective;
    this->relayEnded = this->relayEnded || this->context.clock.now() >= giveUp;
    bool someOpen = false;
    for (const std::size_t shard : this->relayed) {
        if (this->mayAskDirectly(shard)) {
            this->startCall(shard, true);
        }
        if (this->finished) {
            return;
        }
        if (this->relayEnded && !this->isRunning(shard)) {
            this->setState(shard, PartState::Failed);
        }
        someOpen = someOpen || this->states[shard] == PartState::Open;
    }
    if (someOpen && !this->relayEnded) {
        // Without budget the parts stay open; budget may come, or the other instance may answer.
        this->relayTimer
            = this->context.timers.after(relayPause, [self = this->shared_from_this()] { self->askForMissingParts(); });
    }
    this->replyIfDone();
}

void FanoutExchange::armTimers()
{
    const TimePoint now = this->context.clock.now();
    const TimePoint objective
        = this->request.request->arrivedAt + this->request.route->latencyObjective - callerRoundTrip;
    const TimePoint deadline = this->request.deadline - deadlineMargin;
    const auto self = this->shared_from_this();
    this->objectiveTimer
        = this->context.timers.after(std::max(objective - now, Duration::zero()), [self] { self->objectiveReached(); });
    this->deadlineTimer
        = this->context.timers.after(std::max(deadline - now, Duration::zero()), [self] { self->deadlineReached(); });
}

void FanoutExchange::setState(std::size_t shard, PartState state)
{
    if (this->states[shard] == PartState::Answered || this->states[shard] == state) {
        return;
    }
    if (this->states[shard] == PartState::Failed) {
        --this->failed;
    }
    this->states[shard] = state;
    ++(state == PartState::Answered ? this->answered : this->failed);
}

void FanoutExchange::partEnded(std::size_t shard, const ServiceResult &result)
{
    if (this->finished || this->states[shard] == PartState::Answered) {
        return;
    }
    this->mayHaveRun = this->mayHaveRun || result.mayHaveRun;
    if (result.success) {
        this->parts[shard] = *result.response;
        this->setState(shard, PartState::Answered);
    } else if (this->relayed.count(shard) > 0 && !this->relayEnded) {
        return;
    } else {
        this->setState(shard, PartState::Failed);
        this->reason = result.reason;
    }
    this->replyIfDone();
}

void FanoutExchange::replyIfDone()
{
    if (!this->canCoverEnough()) {
        this->replyRefusal();
        return;
    }
    const bool allEnded = this->answered + this->failed == this->parts.size();
    if (this->coversEnough() && (allEnded || this->late)) {
        this->replyMerged();
    }
}

bool FanoutExchange::suffices(std::size_t shards) const
{
    const auto all = static_cast<double>(this->parts.size());
    return shards > 0 && static_cast<double>(shards) / all + ratioTolerance >= this->request.route->minShardRatio;
}

bool FanoutExchange::coversEnough() const
{
    return this->suffices(this->answered);
}

bool FanoutExchange::canCoverEnough() const
{
    return this->suffices(this->parts.size() - this->failed);
}

void FanoutExchange::objectiveReached()
{
    if (this->finished) {
        return;
    }
    this->late = true;
    if (this->coversEnough()) {
        this->replyMerged();
    }
}

void FanoutExchange::deadlineReached()
{
    if (this->finished) {
        return;
    }
    if (this->coversEnough()) {
        this->replyMerged();
        return;
    }
    this->context.requestLog.write(*this->request.request, "deadline", this->describeMissing());
    this->reply(makeDeadlineReply());
}

void FanoutExchange::replyMerged()
{
    MergedResponse merged;
    std::vector<std::string_view> bodies;
    for (std::size_t shard = 0; shard < this->parts.size(); ++shard) {
        if (this->states[shard] == PartState::Answered) {
            merged.signatures.push_back(this->parts[shard].signature);
            bodies.push_back(this->parts[shard].body);
        }
    }
    merged.missingShards = this->parts.size() - merged.signatures.size();
    merged.body = mergeTopRecords(bodies, this->request.route->maxRecords);
    if (merged.missingShards > 0 || this->late) {
        this->context.requestLog.write(
            *this->request.request, merged.missingShards > 0 ? "partial" : "late", this->describeMissing());
    }
    if (merged.missingShards > 0) {
        this->context.counters.counter("lycheewall_forwarding_missing_parts_total").add(merged.missingShards);
    }
    ForwardReply reply;
    reply.merged = std::move(merged);
    this->reply(reply);
}

void FanoutExchange::replyRefusal()
{
    ServiceResult result;
    // Parts that are still under way may have run as well.
    result.mayHaveRun = this->mayHaveRun || this->failed < this->parts.size();
    result.reason = this->reason;
    this->context.requestLog.write(*this->request.request, "failed", this->describeMissing());
    this->reply(makeRefusalReply(result));
}

std::string FanoutExchange::describeMissing() const
{
    std::string text = "route=" + this->request.route->name
        + " version=" + std::to_string(this->request.table->version()) + " parts=" + std::to_string(this->answered)
        + '/' + std::to_string(this->parts.size()) + " missing=";
    for (std::size_t shard = 0; shard < this->calls.size(); ++shard) {
        if (this->states[shard] == PartState::Answered) {
            continue;
        }
        const ServiceId &service = this->request.route->shards[shard];
        if (this->relayed.count(shard) > 0) {
            text += service.value() + ":relayed-to-" + this->relayInstance.value() + ';';
        }
        if (this->calls[shard]) {
            text += this->calls[shard]->describe() + ';';
        } else if (this->relayed.count(shard) == 0) {
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
    this->relayWait.reset();
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
