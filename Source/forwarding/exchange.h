#pragma once

#include "forwarding/forwardingcontext.h"
#include "forwarding/forwardreply.h"

#include <functional>

namespace Lycheewall
{

/**
 * One admitted request from its start to the reply. Its timers and calls keep it alive; callers of startExchange() need
 * to hold it only to cancel it.
 * Thread safety: none; used on the thread of the request loop.
 */
class Exchange
{
public:
    using ReplyCallback = std::function<void(const ForwardReply &)>;

    virtual ~Exchange() = default;

    /// Replies at once with what is known, because the instance is about to end. Has no effect after the reply.
    virtual void finishEarly() = 0;

    /// Cancels the request because the caller has disconnected. The reply callback is not called any more, and calls in
    /// flight are cancelled.
    virtual void cancel() = 0;
};

/// Starts a FanoutExchange if the route has shards, otherwise a SingleExchange. @p done is called once, possibly from
/// within this function, unless the exchange is cancelled first. Returns nullptr if the endpoints are short of room and
/// the request is rejected for it; @p done has been called then.
std::shared_ptr<Exchange>
startExchange(ForwardingContext &context, const AdmittedRequest &request, Exchange::ReplyCallback done);

}
