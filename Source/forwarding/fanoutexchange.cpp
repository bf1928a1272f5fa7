#include "forwarding/fanoutexchange.h"

#include "forwarding/singleexchange.h"
#include "forwarding/topmerge.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// An answer at the objective leaves this much earlier, for the way between the caller and this instance, both ways.
constexpr Duration callerWay = Milliseconds(8);
constexpr Duration deadlineMargin = Milliseconds(5);
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

void FanoutExchange::startCalls()
{
    const std::vector<ServiceId> &shards = this->request.route->shards;
    for (std::size_t shard = 0; shard < shards.size() && !this->finished; ++shard) {
        auto call = ServiceCall::start(
            this->context, this->request, shards[shard], [self = this->shared_from_this(), shard](const auto &result) {
                self->partEnded(shard, result);
            });
        if (this->finished) {
            call->abandon();
            return;
        }
        this->calls.push_back(std::move(call));
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
    result.mayHaveRun = this->mayHaveRun || this->failed < this->calls.size();
    result.reason = this->reason;
    this->reply(refusalOf(result));
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
        call->abandon();
    }
    this->calls.clear();
}

}
