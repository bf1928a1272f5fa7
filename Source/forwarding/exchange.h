#pragma once

#include "forwarding/forwardingcontext.h"

#include <functional>

namespace Lycheewall
{

/**
 * One admitted request until its final answer. Kept alive by its timers and calls; the holder needs it only to abandon
 * it.
 * Thread safety: none; used on the thread of the request loop.
 */
class Exchange
{
public:
    using ReplyCallback = std::function<void(const ForwardReply &)>;

    virtual ~Exchange() = default;

    /// The caller has left: no answer is given any more, endpoints at work are released.
    virtual void cancel() = 0;
};

/// Starts the exchange that fits the route. @p done is called once, possibly from within this function.
std::shared_ptr<Exchange>
startExchange(ForwardingContext &context, const AdmittedRequest &request, Exchange::ReplyCallback done);

}
