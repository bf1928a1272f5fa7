#pragma once

#include "forwarding/forwardingcontext.h"
#include "forwarding/serviceattempt.h"

#include <functional>

namespace Lycheewall
{

/// The result of a request to one service.
struct ServiceResult
{
    /// The response of an endpoint, whether a success or a failure; std::nullopt if no endpoint responded, and for the
    /// failure of a shard.
    std::optional<EndpointResponse> response;
    /// True if the response has a success status and the endpoint's signature.
    bool success = false;
    /// What all attempts together tell about the execution of the request.
    Execution execution = Execution::NotRun;
    Refusal reason = Refusal::None;
    /// Without a response: the time after which a retry can succeed; std::nullopt if none is known.
    std::optional<Duration> retryAfter;
};

/// The attempts that one request has made at one service. Calls that follow each other share it, so that all of them
/// together keep to the route's maximum number of attempts.
struct AttemptHistory
{
    int sent = 0;
    std::vector<EndpointId> endpoints;
    /// True once the first attempt was recorded in the retry budget.
    bool isFirstRecorded = false;
};
using AttemptHistoryPtr = std::shared_ptr<AttemptHistory>;

/// The service that a call is for, and the attempts that earlier calls of the request have made at it.
struct CallTarget
{
    explicit CallTarget(ServiceId targetService, AttemptHistoryPtr earlierAttempts = std::make_shared<AttemptHistory>())
        : service(std::move(targetService))
        , attempts(std::move(earlierAttempts))
    {
    }

    ServiceId service;
    AttemptHistoryPtr attempts;
};

/**
 * One request to one service: the first attempt, retries after failures and hedges, extra attempts while another one is
 * in flight. Keeps to the maximum number of attempts and to the retry budget. A request that must not run twice is
 * retried only if it is certain that the previous endpoint did not run it.
 *
 * An idempotent request is also retried when its endpoint has been silent for implausibly long; the silent attempt may
 * still respond. It ends early only if the feed says in addition that the endpoint is gone, and no retry is possible. A
 * retry that the budget does not allow may wait for it, see retryBudgetWaitLimit().
 * Thread safety: none; used on the thread of the request loop.
 */
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using ResultCallback = std::function<void(const ServiceResult &)>;

    /// Starts the first attempt. @p done is called once, possibly from within start(), unless the call is cancelled
    /// first.
    static std::shared_ptr<ServiceCall>
    start(ForwardingContext &context, const AdmittedRequest &request, const CallTarget &target, ResultCallback done);

    /// As start(), for a request that an instance in @p otherZone may already have sent to an endpoint there. Makes a
    /// single attempt at an endpoint outside of that zone, if a response can be expected on time and the retry budget
    /// allows it.
    static std::shared_ptr<ServiceCall> startHedge(ForwardingContext &context,
                                                   const AdmittedRequest &request,
                                                   const CallTarget &target,
                                                   const ZoneId &otherZone,
                                                   ResultCallback done);

    /// Records the first attempt at @p target in the retry budget, unless that was done before.
    static void recordFirstAttempt(ForwardingContext &context, const CallTarget &target);

    /// Maximum number of connections of this instance to each endpoint of @p service.
    static std::size_t
    connectionLimit(const ForwardingContext &context, const RouteTable &table, const ServiceId &service);

    /// Turns a hedge in flight into an ordinary call: the instance in the other zone has sent the request to no
    /// endpoint, so the remaining attempts of the route may be made here, in all zones. Has no effect on a finished
    /// call.
    void takeOverAttempts();

    /// What is known while the call is in flight: the failure response of an endpoint, if there is one, and whether an
    /// endpoint may have run the request.
    ServiceResult interimResult() const;

    /// Cancels the call: the result callback is not called any more, and attempts in flight are cancelled.
    void cancel();

    /// True once the result was delivered or the call was cancelled.
    bool isFinished() const;

    /// Text for a log line: for each attempt so far, the endpoint, the time since its start in ms and its state.
    std::string describe() const;

private:
    enum class AttemptKind { First, Retry, Hedge };
    enum class StartResult { Started, Impossible, BudgetExhausted };
    /// A retry that waits for the retry budget, until @p until.
    struct BudgetWait
    {
        TimePoint until;
        FleetRetryBudget::WaitTicketPtr ticket;
    };

    ServiceCall(ForwardingContext &context,
                const AdmittedRequest &request,
                const CallTarget &target,
                ResultCallback done);

    void startFirstAttempt(AttemptKind kind);
    /// Begins the periodic checks of an idempotent request, at the time at which a hedge is due.
    void startChecks();
    void scheduleCheck(Duration delay);
    /// Hedges while a response is plausible, otherwise retries, goes on waiting for the budget, or ends the call.
    void check();
    Duration checkInterval() const;
    /// Finishes the call when no response is expected and no attempt can be made.
    void finishWithoutResponse();
    /// Endpoints that the next attempt must not go to.
    std::vector<EndpointId> excludedEndpoints() const;
    StartResult startAttempt(AttemptKind kind);
    void sendAttempt(const EndpointPtr &endpoint, bool usesBudget, TimePoint now);
    bool isHedgeUseful(const ServiceEndpoint &endpoint, TimePoint now) const;
    void handleOutcome(const ServiceAttemptPtr &attempt, const CallOutcome &outcome);
    bool finishIfConclusive(const CallOutcome &outcome);
    /// Retries after a failure. If that is impossible and no response can come, begins to wait for the budget or
    /// finishes the call.
    void retryOrFinish();
    bool isIdempotent() const;
    /// True if the request may go on waiting for the retry budget; begins to wait if it is worth it.
    bool waitForBudget();
    bool hasAttemptInFlight() const;
    /// True if an attempt is in flight for which @p predicate returns true.
    template<typename Predicate> bool hasAttemptInFlight(Predicate predicate) const;
    /// True if an attempt is in flight that is neither silent nor gone.
    bool isResponsePlausible() const;
    /// True if an attempt is in flight whose endpoint is not gone.
    bool isResponsePossible() const;
    void finish(const ServiceResult &result);
    void cancelAttempts();
    void tryHedge();

    ForwardingContext &context;
    AdmittedRequest request;
    ServiceId service;
    ResultCallback done;
    Duration expectedLatency;
    std::vector<ServiceAttemptPtr> attempts;
    AttemptHistoryPtr history;
    /// Endpoints of the zone in which another instance may have sent the request.
    std::vector<EndpointId> otherZoneEndpoints;
    /// True if the call as a whole is a hedge, see startHedge().
    bool isHedge = false;
    /// True once the call has sent a hedge of its own.
    bool hedgeSent = false;
    bool finished = false;
    ServiceResult lastResult;
    std::optional<BudgetWait> budgetWait;
    Subscription checkTimer;
};

}
