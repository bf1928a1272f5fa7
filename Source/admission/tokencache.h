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
        std::uint32_t wanted = 0;
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
        /// Requests per second that arrive here, smoothed.
        double demand = 0;
        TimePoint demandUpdated;
        Subscription timer;
        TimePoint timerAt;
    };
    /// A step that is carried out without the lock.
    struct Step
    {
        Callback callback;
        Refusal refusal = Refusal::None;
        Duration retryAfter = Duration::zero();
        std::optional<InstanceId> peer;
        TokenRequest request;
    };

    void run(const OrganisationId &organisation);
    std::optional<Step> next(const OrganisationId &organisation, State &state, const std::optional<InstanceId> &owner);
    std::optional<Step> giveUpBatch(const OrganisationId &organisation, State &state, TimePoint now);
    std::optional<Step> admit(State &state);
    std::optional<Step> refuseImpatient(State &state, TimePoint now);
    std::optional<Step>
    ask(const OrganisationId &organisation, State &state, const std::optional<InstanceId> &owner, TimePoint now);
    void perform(const OrganisationId &organisation, Step &step);
    void sendFailed(const OrganisationId &organisation, std::uint64_t id);
    void retryLater(State &state, Refusal reason, TimePoint now);
    void noteDemand(State &state, TimePoint now) const;
    std::optional<TimePoint> wakeTime(const State &state) const;
    void schedule(const OrganisationId &organisation, State &state, TimePoint now);
    void applyReply(const InstanceId &from, const TokenReply &reply);

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
