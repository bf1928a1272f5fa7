#pragma once

#include "admission/admissiongate.h"
#include "admission/ratelimiter.h"
#include "core/random.h"
#include "core/timerservice.h"
#include "lease/leaseservice.h"
#include "peer/codec/peertransport.h"

#include <deque>
#include <map>

namespace Lycheewall
{

/**
 * Coordinator side of the fleet-wide limits: gets token batches from the owner of an organisation and admits with them.
 * A token admits only within the validity of its batch, counted from the sending of the request and checked with the
 * clock right before each admission.
 * Thread safety: any thread. Callbacks run without a lock held.
 */
class TokenCache : public AdmissionGate
{
public:
    /// Requests that may wait for tokens of one organisation; more are refused at once.
    static constexpr std::size_t waiterLimit = 2000;

    TokenCache(const Clock &timeSource,
               TimerService &timerService,
               Random &randomSource,
               PeerTransport &peerTransport,
               LeaseService &leaseService,
               RateLimiter &localLimiter,
               Counters &counterRegistry);

    /// Admits with a cached token at once, or waits for tokens. Refusals: RateExceeded, NoOwner.
    void acquire(const OrganisationId &organisation, Duration patience, Callback callback) override;

    void handle(const InstanceId &from, const TokenReply &reply);

    /// The link to a peer broke: requests that it has not answered are asked anew.
    void peerLost(const InstanceId &peer);

private:
    struct Waiter
    {
        TimePoint deadline;
        Callback callback;
    };
    struct Batch
    {
        std::uint64_t id = 0;
        InstanceId owner;
        TimePoint expires;
        std::uint32_t tokens = 0;
    };
    struct Pending
    {
        std::uint64_t id = 0;
        InstanceId owner;
        TimePoint sent;
        bool redirected = false;
    };
    struct State
    {
        std::deque<Waiter> waiters;
        std::deque<Batch> batches;
        std::optional<Pending> pending;
        /// No request before this time.
        TimePoint askAfter;
        Refusal lastRefusal = Refusal::NoOwner;
        Duration lastRetryAfter = Duration::zero();
        /// When the owner last had too few tokens.
        TimePoint refusedAt;
        /// Requests per second that arrive here, smoothed.
        double demand = 0;
        TimePoint demandUpdated;
        /// Requests that were given up; tokens that arrive for them are returned.
        std::deque<std::uint64_t> abandoned;
        /// Holder that a NotOwner reply named, to be asked next.
        std::optional<InstanceId> redirect;
        Subscription timer;
        std::optional<TimePoint> timerAt;
    };
    /// What to do next, without the lock.
    struct Step
    {
        enum class Kind {
            /// Call a waiter back.
            Answer,
            /// Give unused tokens back to the owner.
            Return,
            /// Ask an owner for tokens.
            Ask
        };
        Kind kind = Kind::Answer;
        Callback callback;
        Refusal refusal = Refusal::None;
        Duration retryAfter = Duration::zero();
        InstanceId peer;
        TokenRequest request;
    };

    void run(const OrganisationId &organisation);
    std::optional<Step> next(const OrganisationId &organisation, State &state);
    std::optional<Step> giveUpBatch(const OrganisationId &organisation, State &state, TimePoint now);
    static std::optional<Step> admit(State &state, TimePoint now);
    std::optional<Step> refuseImpatient(State &state, TimePoint now);
    Step answer(Waiter waiter, Refusal refusal, Duration retryAfter) const;
    Step returnStep(const OrganisationId &organisation, const Batch &batch);
    void retryLater(State &state, TimePoint now);
    void abandon(State &state, TimePoint now);
    void perform(const OrganisationId &organisation, Step &step);
    void ask(const OrganisationId &organisation);
    SendResult send(const InstanceId &peer, const TokenRequest &request);
    void apply(const InstanceId &from, const TokenReply &reply);
    void noteOutcome(State &state, const Pending &asked, const TokenReply &reply, TimePoint now);
    std::optional<Step> applyLate(State &state, const InstanceId &from, const TokenReply &reply);
    Duration jitter(Duration bound);
    static void noteDemand(State &state, TimePoint now);
    static std::optional<TimePoint> wakeTime(const State &state);
    void schedule(const OrganisationId &organisation, State &state, TimePoint now);

    const Clock &clock;
    TimerService &timers;
    Random &random;
    PeerTransport &transport;
    LeaseService &leases;
    RateLimiter &local;
    Counters &counters;
    std::mutex mutex;
    std::uint64_t lastId;
    std::map<OrganisationId, State> states;
};

}
