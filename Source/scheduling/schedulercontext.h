#pragma once

#include "core/clock.h"
#include "core/counters.h"
#include "core/random.h"
#include "core/timerservice.h"
#include "lease/ownership.h"
#include "scheduling/endpointtransport.h"
#include "scheduling/retrybudget.h"

namespace Lycheewall
{

/// What a scheduler works with. Everything referred to outlives the scheduler and all its attempts.
struct SchedulerContext
{
    const Clock &clock;
    TimerService &timers;
    Random &random;
    EndpointTransport &transport;
    const Ownership &ownership;
    RetryBudget &budget;
    Counters &counters;
};

}
