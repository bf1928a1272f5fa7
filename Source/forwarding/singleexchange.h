#pragma once

#include "forwarding/exchange.h"
#include "forwarding/servicecall.h"

namespace Lycheewall
{

/**
 * A request to one of the route's services; the response of one endpoint becomes the reply.
 * Thread safety: none; used on the thread of the request loop.
 */
class SingleExchange : public Exchange, public std::enable_shared_from_this<SingleExchange>
{
public:
    /// @p done is called once, possibly from within start(), unless the exchange is cancelled first.
    static std::shared_ptr<Exchange>
    start(ForwardingContext &context, const AdmittedRequest &request, ReplyCallback done);

    void finishEarly() override;
    void cancel() override;

private:
    SingleExchange(ForwardingContext &context, AdmittedRequest request, ReplyCallback done);

    /// Refuses the request if the service takes it not now, as its endpoints have asked for fewer requests.
    bool refuseIfThrottled(const ServiceId &service);
    void handleResult(const ServiceResult &result);
    void handleDeadline();
    void reply(const ForwardReply &reply);

    ForwardingContext &context;
    AdmittedRequest request;
    ReplyCallback done;
    std::shared_ptr<ServiceCall> call;
    Subscription deadlineTimer;
    bool finished = false;
};

}
