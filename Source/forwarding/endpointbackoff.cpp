#include "forwarding/endpointbackoff.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

constexpr Duration maxDelay = std::chrono::minutes(10);
/// The endpoint is used as before when its window exceeds this number of requests in flight.
constexpr int maxWindow = 16;
/// Time to wait while the window is full: a response is expected soon.
constexpr Duration fullWindowWait = Milliseconds(20);

}

void EndpointBackoff::start(Duration delay, TimePoint now)
{
    this->until = std::max(this->isActive() ? this->until : now, now + std::min(delay, maxDelay));
    this->active = true;
    this->window = 1;
}

void EndpointBackoff::requestServed(TimePoint sentAt)
{
    if (!this->active || sentAt < this->until) {
        return;
    }
    this->window *= 2;
    this->active = this->window <= maxWindow;
}

bool EndpointBackoff::isActive() const
{
    return this->active;
}

bool EndpointBackoff::isWaiting(TimePoint now) const
{
    return this->active && now < this->until;
}

bool EndpointBackoff::canSend(int inFlight, TimePoint now) const
{
    return !this->active || (now >= this->until && inFlight < this->window);
}

Duration EndpointBackoff::waitTime(int inFlight, TimePoint now) const
{
    if (this->canSend(inFlight, now)) {
        return Duration::zero();
    }
    return this->isWaiting(now) ? this->until - now : fullWindowWait;
}

}
