#include "admission/tokencache.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Lycheewall
{

namespace
{

/// A batch covers the demand of this long.
constexpr double batchSeconds = 0.1;
/// Time constant of the demand estimate.
constexpr double demandSeconds = 0.5;
/// A request without an answer is given up after this time; its tokens could not be used any more.
constexpr Duration replyTimeout = TokenBucket::longestValidity;
/// Wait before another attempt when there is no owner, plus a random part of the same length.
constexpr Duration noOwnerRetry = Milliseconds(50);
/// Shortest wait before another attempt when the owner has no token, plus a random part of the same length.
constexpr Duration emptyBucketRetry = Milliseconds(10);
/// Bounds what a peer may send.
constexpr std::int64_t longestRetryMs = 3600000;
constexpr std::size_t abandonedLimit = 16;
constexpr std::uint32_t largestBatch = 100000;

/// Not from the seeded generator: a restarted coordinator must not take replies to its earlier run.
std::uint64_t randomFirstId()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32U;
}

}

TokenCache::TokenCache(const Clock &timeSource,
                       TimerService &timerService,
                       Random &randomSource,
                       PeerTransport &peerTransport,
                       LeaseService &leaseService,
                       RateLimiter &localLimiter,
                       Counters &counterRegistry)
    : clock(timeSource)
    , timers(timerService)
    , random(randomSource)
    , transport(peerTransport)
    , leases(leaseService)
    , local(localLimiter)
    , counters(counterRegistry)
    , lastId(randomFirstId())
{
}

void TokenCache::acquire(const OrganisationId &organisation, Duration patience, Callback callback)
{
    const TimePoint now = this->clock.now();
    Waiter waiter { now + patience, std::move(callback) };
    std::optional<Step> refused;
    {
        const std::lock_guard lock(this->mutex);
        State &state = this->states[organisation];
        noteDemand(state, now);
        if (state.waiters.size() < waiterLimit) {
            state.waiters.push_back(std::move(waiter));
        } else {
            refused = this->answer(std::move(waiter), state.lastRefusal, state.lastRetryAfter);
        }
    }
    if (refused) {
        this->perform(organisation, *refused);
        return;
    }
    this->run(organisation);
}

void TokenCache::noteDemand(State &state, TimePoint now)
{
    const std::chrono::duration<double> passed = now - state.demandUpdated;
    state.demand = state.demand * std::exp(-passed.count() / demandSeconds) + 1 / demandSeconds;
    state.demandUpdated = now;
}

void TokenCache::run(const OrganisationId &organisation)
{
    while (true) {
        std::optional<Step> step;
        {
            const std::lock_guard lock(this->mutex);
            State &state = this->states[organisation];
            step = this->next(organisation, state);
            if (!step) {
                this->schedule(organisation, state, this->clock.now());
                return;
            }
        }
        this->perform(organisation, *step);
    }
}

std::optional<TokenCache::Step> TokenCache::next(const OrganisationId &organisation, State &state)
{
    const TimePoint now = this->clock.now();
    if (auto step = this->giveUpBatch(organisation, state, now)) {
        return step;
    }
    if (auto step = admit(state, now)) {
        return step;
    }
    if (auto step = this->refuseImpatient(state, now)) {
        return step;
    }
    if (state.pending && now - state.pending->sent >= replyTimeout) {
        this->abandon(state, now);
    }
    if (state.waiters.empty() || state.pending || now < state.askAfter) {
        return std::nullopt;
    }
    Step step;
    step.kind = Step::Kind::Ask;
    return step;
}

std::optional<TokenCache::Step> TokenCache::giveUpBatch(const OrganisationId &organisation, State &state, TimePoint now)
{
    const auto expired = std::find_if(state.batches.begin(), state.batches.end(), [&](const Batch &batch) {
        return batch.tokens == 0 || batch.expires <= now;
    });
    if (expired == state.batches.end()) {
        return std::nullopt;
    }
    const Batch batch = *expired;
    state.batches.erase(expired);
    if (batch.tokens == 0) {
        return this->giveUpBatch(organisation, state, now);
    }
    this->counters.counter("lycheewall_tokens_expired_total").add(batch.tokens);
    return this->returnStep(organisation, batch);
}

TokenCache::Step TokenCache::returnStep(const OrganisationId &organisation, const Batch &batch)
{
    Step step;
    step.kind = Step::Kind::Return;
    step.peer = batch.owner;
    step.request.id = ++this->lastId;
    step.request.organisation = organisation;
    step.request.returned = batch.tokens;
    step.request.returnedBatch = batch.id;
    return step;
}

std::optional<TokenCache::Step> TokenCache::admit(State &state, TimePoint now)
{
    // Batches that expired by now were removed just before, with the same reading of the clock.
    if (state.waiters.empty() || state.batches.empty() || state.waiters.front().deadline < now) {
        return std::nullopt;
    }
    --state.batches.front().tokens;
    Step step;
    step.callback = std::move(state.waiters.front().callback);
    state.waiters.pop_front();
    return step;
}

TokenCache::Step TokenCache::answer(Waiter waiter, Refusal refusal, Duration retryAfter) const
{
    this->counters.counter("lycheewall_token_refusals_total", refusalCode(refusal)).add();
    Step step;
    step.callback = std::move(waiter.callback);
    step.refusal = refusal;
    step.retryAfter = retryAfter;
    return step;
}

std::optional<TokenCache::Step> TokenCache::refuseImpatient(State &state, TimePoint now)
{
    const bool emptyBucket = state.lastRefusal == Refusal::RateExceeded && now < state.askAfter;
    int position = 0;
    for (auto waiter = state.waiters.begin(); waiter != state.waiters.end(); ++waiter) {
        // Each waiter ahead takes a token first, and the owner makes at most one in each retry-after. The reply rounds
        // that up to whole milliseconds, so one is taken off.
        const TimePoint earliest = state.refusedAt + (state.lastRetryAfter - Milliseconds(1)) * position;
        const bool hopeless = emptyBucket && std::max(state.askAfter, earliest) > waiter->deadline;
        if (waiter->deadline <= now || hopeless) {
            Waiter refused = std::move(*waiter);
            state.waiters.erase(waiter);
            return this->answer(std::move(refused), state.lastRefusal, state.lastRetryAfter);
        }
        ++position;
    }
    return std::nullopt;
}

void TokenCache::perform(const OrganisationId &organisation, Step &step)
{
    switch (step.kind) {
    case Step::Kind::Answer:
        step.callback(step.refusal, step.retryAfter);
        return;
    case Step::Kind::Return:
        this->send(step.peer, step.request);
        return;
    case Step::Kind::Ask:
        this->ask(organisation);
        return;
    }
}

SendResult TokenCache::send(const InstanceId &peer, const TokenRequest &request)
{
    if (peer != this->leases.instance()) {
        return this->transport.send(peer, request);
    }
    const TokenReply reply = this->local.handle(peer, request);
    if (request.wanted > 0) {
        this->apply(peer, reply);
    }
    return SendResult::HandedOver;
}

void TokenCache::ask(const OrganisationId &organisation)
{
    const std::optional<InstanceId> holder = this->leases.holder(organisationResource(organisation));
    TokenRequest request;
    InstanceId owner;
    {
        const TimePoint now = this->clock.now();
        const std::lock_guard lock(this->mutex);
        State &state = this->states[organisation];
        if (state.pending || state.waiters.empty()) {
            return;
        }
        const std::optional<InstanceId> redirect = std::exchange(state.redirect, std::nullopt);
        if (!redirect && !holder) {
            this->retryLater(state, now);
            return;
        }
        owner = redirect ? *redirect : *holder;
        const double expected = std::ceil(state.demand * batchSeconds);
        const double wanted = std::max<double>(expected, static_cast<double>(state.waiters.size()));
        request.id = ++this->lastId;
        request.organisation = organisation;
        request.wanted = static_cast<std::uint32_t>(std::min<double>(wanted, largestBatch));
        state.pending = Pending { request.id, owner, now, redirect.has_value() };
    }
    if (this->send(owner, request) == SendResult::HandedOver) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    State &state = this->states[organisation];
    if (state.pending && state.pending->id == request.id) {
        state.pending.reset();
        this->retryLater(state, this->clock.now());
    }
}

Duration TokenCache::jitter(Duration bound)
{
    return Duration(static_cast<Duration::rep>(this->random.uniformInteger(static_cast<std::uint64_t>(bound.count()))));
}

void TokenCache::retryLater(State &state, TimePoint now)
{
    state.lastRefusal = Refusal::NoOwner;
    state.lastRetryAfter = noOwnerRetry;
    state.askAfter = now + noOwnerRetry + this->jitter(noOwnerRetry);
}

void TokenCache::abandon(State &state, TimePoint now)
{
    state.abandoned.push_back(state.pending->id);
    if (state.abandoned.size() > abandonedLimit) {
        state.abandoned.pop_front();
    }
    state.pending.reset();
    this->retryLater(state, now);
}

void TokenCache::handle(const InstanceId &from, const TokenReply &reply)
{
    this->apply(from, reply);
    this->run(reply.organisation);
}

void TokenCache::apply(const InstanceId &from, const TokenReply &reply)
{
    Duration validity = this->local.validity(reply.organisation);
    if (reply.validMs > 0) {
        validity = std::min<Duration>(validity, Milliseconds(std::min<std::int64_t>(reply.validMs, 1000)));
    }
    std::optional<Step> late;
    {
        const TimePoint now = this->clock.now();
        const std::lock_guard lock(this->mutex);
        const auto found = this->states.find(reply.organisation);
        if (found == this->states.end()) {
            return;
        }
        State &state = found->second;
        if (!state.pending || state.pending->id != reply.id || state.pending->owner != from) {
            late = this->applyLate(state, from, reply);
        } else {
            const Pending asked = *std::exchange(state.pending, std::nullopt);
            if (reply.granted > 0) {
                state.batches.push_back({ reply.id, from, asked.sent + validity, reply.granted });
            }
            this->noteOutcome(state, asked, reply, now);
        }
    }
    if (late) {
        this->send(late->peer, late->request);
    }
}

std::optional<TokenCache::Step> TokenCache::applyLate(State &state, const InstanceId &from, const TokenReply &reply)
{
    // Only requests that were given up: a reply seen twice must not return tokens that admitted something.
    const auto entry = std::find(state.abandoned.begin(), state.abandoned.end(), reply.id);
    if (entry == state.abandoned.end() || reply.granted == 0) {
        return std::nullopt;
    }
    state.abandoned.erase(entry);
    return this->returnStep(reply.organisation, { reply.id, from, TimePoint(), reply.granted });
}

void TokenCache::noteOutcome(State &state, const Pending &asked, const TokenReply &reply, TimePoint now)
{
    const bool enough = reply.granted >= state.waiters.size();
    if (reply.reason == Refusal::None && enough) {
        state.lastRefusal = Refusal::NoOwner;
        state.askAfter = now;
        return;
    }
    if (reply.reason == Refusal::None || reply.reason == Refusal::RateExceeded) {
        state.lastRefusal = Refusal::RateExceeded;
        state.refusedAt = now;
        state.lastRetryAfter = Milliseconds(std::clamp<std::int64_t>(reply.retryAfterMs, 1, longestRetryMs));
        const Duration wait = std::max(state.lastRetryAfter, emptyBucketRetry);
        state.askAfter = now + wait + this->jitter(emptyBucketRetry);
        return;
    }
    const bool named = !reply.holder.value().empty() && reply.holder != asked.owner;
    if (reply.reason == Refusal::NotOwner && named && !asked.redirected) {
        state.redirect = reply.holder;
        state.askAfter = now;
        return;
    }
    this->retryLater(state, now);
}

void TokenCache::peerLost(const InstanceId &peer)
{
    std::vector<OrganisationId> affected;
    {
        const TimePoint now = this->clock.now();
        const std::lock_guard lock(this->mutex);
        for (auto &[organisation, state] : this->states) {
            if (state.pending && state.pending->owner == peer) {
                this->abandon(state, now);
                affected.push_back(organisation);
            }
        }
    }
    for (const OrganisationId &organisation : affected) {
        this->run(organisation);
    }
}

std::optional<TimePoint> TokenCache::wakeTime(const State &state)
{
    std::optional<TimePoint> wake;
    const auto consider = [&](TimePoint time) {
        wake = wake ? std::min(*wake, time) : time;
    };
    for (const Waiter &waiter : state.waiters) {
        consider(waiter.deadline);
    }
    for (const Batch &batch : state.batches) {
        consider(batch.expires);
    }
    if (state.pending) {
        consider(state.pending->sent + replyTimeout);
    } else if (!state.waiters.empty()) {
        consider(state.askAfter);
    }
    return wake;
}

void TokenCache::schedule(const OrganisationId &organisation, State &state, TimePoint now)
{
    const std::optional<TimePoint> wake = wakeTime(state);
    if (!wake || (state.timerAt && *state.timerAt <= *wake)) {
        return;
    }
    state.timerAt = wake;
    const Duration delay = std::max(Duration::zero(), *wake - now);
    state.timer = this->timers.after(delay, [this, organisation] {
        {
            const std::lock_guard lock(this->mutex);
            this->states[organisation].timerAt.reset();
        }
        this->run(organisation);
    });
}

}
