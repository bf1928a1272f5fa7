#include "forwarding/fanoutexchange.h"

#include "forwarding/singleexchange.h"
#include "forwarding/topmerge.h"

#include <algorithm>
#include <functional>
#include <map>

namespace Lycheewall
{

namespace
{

/// An answer at the objective leaves this much earlier, for the way between the caller and this instance, both ways.
constexpr Duration callerWay = Milliseconds(8);
constexpr Duration deadlineMargin = Milliseconds(5);
constexpr double typicalShare = 0.5;
/// Without measurements, the usual time of a request is taken as this part of the objective.
constexpr int objectiveParts = 8;
/// Guards the comparison of shares against rounding.
constexpr double ratioTolerance = 1e-9;

}

std::shared_ptr<Exchange> FanoutExchange::start(ForwardingContext &context, const AdmittedRequest &request, Done done)
{
    const std::shared_ptr<FanoutExchange> exchange(new FanoutExchange(context, request, std::move(done)));
    exchange->startCalls();
    if (!exchange->finished) {
        exchange->armTimers();
    }
    return exchange;
}

FanoutExchange::FanoutExchange(ForwardingContext &exchangeContext, AdmittedRequest admitted, Done callback)
    : context(exchangeContext)
    , request(std::move(admitted))
    , done(std::move(callback))
    , parts(this->request.route->shards.size())
{
}

std::set<std::size_t> FanoutExchange::hopelessShards() const
{
    const Route &route = *this->request.route;
    const TimePoint now = this->context.clock.now();
    const Duration left = this->request.request->arrivedAt + route.objective - callerWay - now;
    const Duration usual
        = this->context.latencies.quantile(route.name, typicalShare, route.objective / objectiveParts);
    std::multimap<Duration, std::size_t, std::greater<>> late;
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const auto time = this->context.chooser.estimate(route.shards[shard], usual, now);
        if (time && *time > left) {
            late.emplace(*time, shard);
        }
    }
    const auto all = static_cast<double>(route.shards.size());
    auto spare = static_cast<std::size_t>((1 - route.minShardRatio) * all + ratioTolerance);
    std::set<std::size_t> hopeless;
    for (auto entry = late.begin(); entry != late.end() && spare > 0; ++entry, --spare) {
        hopeless.insert(entry->second);
    }
    return hopeless;
}

void FanoutExchange::startCalls()
{
    const std::vector<ServiceId> &shards = this->request.route->shards;
    const std::set<std::size_t> hopeless = this->hopelessShards();
    this->calls.resize(shards.size());
    for (std::size_t shard = 0; shard < shards.size() && !this->finished; ++shard) {
        if (hopeless.count(shard) > 0) {
            this->context.counters.counter("lycheewall_forwarding_parts_not_asked_total").add();
            ServiceResult result;
            result.reason = Refusal::QueueFull;
            this->partEnded(shard, result);
            continue;
        }
        auto call = ServiceCall::start(
            this->context, this->request, shards[shard], [self = this->shared_from_this(), shard](const auto &result) {
                self->partEnded(shard, result);
            });
        if (this->finished) {
            call->abandon();
            return;
        }
        this->calls[shard] = std::move(call);
    }
}

void FanoutExchange::armTimers()
{
    const TimePoint now = this->context.clock.now();
    const TimePoint objective = this->request.request->arrivedAt + this->request.route->objective - callerWay;
    const TimePoint deadline = this->request.deadline - deadlineMargin;
    const auto self = this->shared_from_this();
    this->objectiveTimer
        = this->context.timers.after(std::max(objective - now, Duration::zero()), [self] { self->objectiveReached(); });
    this->deadlineTimer
        = this->context.timers.after(std::max(deadline - now, Duration::zero()), [self] { self->deadlineReached(); });
}

void FanoutExchange::partEnded(std::size_t shard, const ServiceResult &result)
{
    if (this->finished) {
        return;
    }
    this->mayHaveRun = this->mayHaveRun || result.mayHaveRun;
    if (result.success) {
        this->parts[shard] = result.answer;
        ++this->answered;
    } else {
        ++this->failed;
        this->reason = result.reason;
    }
    if (!this->canCoverEnough()) {
        this->replyRefusal();
        return;
    }
    const bool allEnded = this->answered + this->failed == this->parts.size();
    if (this->coversEnough() && (allEnded || this->late)) {
        this->replyMerged();
    }
}

bool FanoutExchange::coversEnough() const
{
    const auto all = static_cast<double>(this->parts.size());
    return this->answered > 0
        && static_cast<double>(this->answered) / all + ratioTolerance >= this->request.route->minShardRatio;
}

bool FanoutExchange::canCoverEnough() const
{
    const auto all = static_cast<double>(this->parts.size());
    const auto possible = static_cast<double>(this->parts.size() - this->failed);
    return possible > 0 && possible / all + ratioTolerance >= this->request.route->minShardRatio;
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
    this->context.journal.note(*this->request.request, "deadline", this->describeMissing());
    this->reply(deadlineRefusal());
}

void FanoutExchange::replyMerged()
{
    MergedAnswer merged;
    std::vector<std::string_view> bodies;
    for (const auto &part : this->parts) {
        if (part) {
            merged.stamps.push_back(part->stamp);
            bodies.push_back(part->body);
        }
    }
    merged.missingParts = this->parts.size() - merged.stamps.size();
    merged.body = mergeTopRecords(bodies, this->request.route->topRecords);
    if (merged.missingParts > 0 || this->late) {
        this->context.journal.note(
            *this->request.request, merged.missingParts > 0 ? "partial" : "late", this->describeMissing());
    }
    if (merged.missingParts > 0) {
        this->context.counters.counter("lycheewall_forwarding_missing_parts_total").add(merged.missingParts);
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
    this->context.journal.note(*this->request.request, "failed", this->describeMissing());
    this->reply(refusalOf(result));
}

std::string FanoutExchange::describeMissing() const
{
    std::string text = "route=" + this->request.route->name + " version=" + std::to_string(this->request.table->version())
        + " parts=" + std::to_string(this->answered) + '/' + std::to_string(this->parts.size()) + " missing=";
    for (std::size_t shard = 0; shard < this->calls.size(); ++shard) {
        if (!this->parts[shard]) {
            text += (this->calls[shard] ? this->calls[shard]->describe()
                                        : this->request.route->shards[shard].value() + ":not-asked")
                + ';';
        }
    }
    return text;
}

void FanoutExchange::reply(const ForwardReply &reply)
{
    if (this->finished) {
        return;
    }
    const Done callback = std::move(this->done);
    this->abandon();
    callback(reply);
}

void FanoutExchange::abandon()
{
    this->finished = true;
    this->done = nullptr;
    this->objectiveTimer.reset();
    this->deadlineTimer.reset();
    for (const auto &call : this->calls) {
        if (call) {
            call->abandon();
        }
    }
    this->calls.clear();
}

}
