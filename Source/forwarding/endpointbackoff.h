#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/**
 * The time for which an endpoint wants no requests of this instance, because it has turned one away. Afterwards the
 * endpoint gets a single request, and with each response in time twice as many at once, until it is used as before.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointBackoff
{
public:
    /// Starts or extends the backoff: the endpoint wants no requests for @p delay. A longer delay than ten minutes is
    /// shortened, so that a mistaken value does not exclude the endpoint for good.
    void start(Duration delay, TimePoint now);

    /// The endpoint has run a request that was sent at @p sentAt.
    void requestServed(TimePoint sentAt);

    /// True from start() until the endpoint is used as before.
    bool isActive() const;

    /// True while the endpoint wants no requests at all.
    bool isWaiting(TimePoint now) const;

    /// True if a request may be sent while @p inFlight requests of this instance are in flight.
    bool canSend(int inFlight, TimePoint now) const;

    /// Time until canSend() can become true.
    Duration waitTime(int inFlight, TimePoint now) const;

private:
    bool active = false;
    TimePoint until;
    /// After the delay: requests that may be in flight at once.
    int window = 1;
};

}
