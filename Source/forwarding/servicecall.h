#pragma once

#include "forwarding/forwardingcontext.h"

#include <functional>

namespace Lycheewall
{

/// What became of a request at one service.
struct ServiceResult
{
    /// An answer of an endpoint, good or not; nothing when there is none.
    std::optional<EndpointResponse> response;
    /// True when the answer is a success that bears the endpoint's stamp.
    bool success = false;
    /// Without an answer: true when an endpoint may have run the request.
    bool mayHaveRun = false;
    Refusal reason = Refusal::None;
};

/**
 * One request at one service: the first attempt, retries and at most one attempt more than is needed at a time (hedge).
 * Stays within the route's attempts and the budget of second sends; a request that must not run twice is sent again
 * only if the first endpoint certainly did not run it.
 * Thread safety: none; used on the thread of the request loop.
 */
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using ResultCallback = std::function<void(const ServiceResult &)>;

    /// Starts the first attempt. @p done is called once, possibly from within start().
    static std::shared_ptr<ServiceCall>
    start(ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service, ResultCallback done);

    /// As start(), for a request that an instance in @p otherZone may have sent to an endpoint there already: makes a
    /// single attempt, in another zone, if it can help and the budget allows it.
    static std::shared_ptr<ServiceCall> startHedge(ForwardingContext &context,
                                                   const AdmittedRequest &request,
                                                   const ServiceId &service,
                                                   const ZoneId &otherZone,
                                                   ResultCallback done);

    /// Time that a request of the route usually takes.
    static Duration typicalLatency(const ForwardingContext &context, const Route &route);

    /// Time after which a second attempt is due for a request that starts now.
    static Duration hedgeDelay(const ForwardingContext &context, const AdmittedRequest &request);

    /// Gives up: @p done is not called any more, endpoints at work are released.
    void cancel();

    /// True once the result was given or the call was abandoned.
    bool isFinished() const;

    /// True if a request has, or may have, reached an endpoint.
    bool hasSent() const;

    /// The attempts so far, for a log line: endpoint, time since its start in ms, and state of each.
    std::string describe() const;

private:
    struct Attempt
    {
        EndpointPtr endpoint;
        EndpointStats::Token token = 0;
        TimePoint startedAt;
        std::shared_ptr<OutgoingCall> call;
        bool fromBudget = false;
        bool ended = false;
        CallResult result = CallResult::Answered;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    enum class Purpose { First, Retry, Hedge };

    ServiceCall(ForwardingContext &context,
                const AdmittedRequest &request,
                const ServiceId &service,
                ResultCallback done);

    void begin(Purpose purpose);
    bool startAttempt(Purpose purpose);
    bool helps(const ServiceEndpoint &endpoint, TimePoint now) const;
    std::size_t connectionLimit() const;
    void ended(const AttemptPtr &attempt, const CallOutcome &outcome);
    void noteStats(const Attempt &attempt, const CallOutcome &outcome);
    bool decide(const CallOutcome &outcome);
    void retryOrFinish();
    void finish(const ServiceResult &result);
    void releaseAll();
    bool anyInFlight() const;
    void armHedge(Duration delay);
    void hedge();

    ForwardingContext &context;
    AdmittedRequest request;
    ServiceId service;
    ResultCallback done;
    Duration expected;
    std::vector<AttemptPtr> attempts;
    std::vector<EndpointId> tried;
    bool isRepeat = false;
    int sent = 0;
    bool finished = false;
    ServiceResult last;
    Subscription hedgeTimer;
};

}
