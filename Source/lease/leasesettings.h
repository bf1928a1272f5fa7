#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/// Times of the lease protocol; the same on every instance of a deployment.
struct LeaseSettings
{
    /// How long a voter is bound by a grant.
    Duration period = Milliseconds(1500);
    /// How often a holder renews and a candidate asks.
    Duration renew = Milliseconds(300);
    /// Part of the period by which a holder stops early, for clock rate error and scheduling.
    double early = 0.1;
    /// How long an owner sees a higher-ranked ready instance before it hands over.
    Duration handoverAfter = Milliseconds(2000);

    /// How long a grant counts for its holder, from the sending of the request.
    Duration usable() const
    {
        return std::chrono::duration_cast<Duration>(this->period * (1.0 - this->early));
    }
};

}
