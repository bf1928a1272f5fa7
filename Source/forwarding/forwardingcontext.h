#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "forwarding/endpointchooser.h"
#include "forwarding/fleetretrybudget.h"
#include "forwarding/latencymodel.h"
#include "forwarding/messages.h"
#include "forwarding/organisationquota.h"
#include "forwarding/requestlog.h"
#include "forwarding/shardrelay.h"
#include "forwarding/weightedroundrobin.h"

namespace Lycheewall
{

/// What the requests of one instance share. All references outlive the requests.
struct ForwardingContext
{
    const Clock &clock;
    TimerService &timers;
    Counters &counters;
    EndpointSet &endpoints;
    EndpointChooser &chooser;
    EndpointSender &endpointSender;
    FleetRetryBudget &retryBudget;
    LatencyModel &latencies;
    WeightedRoundRobin &serviceBalancer;
    OrganisationQuota &quota;
    RequestLog &requestLog;
    /// Null where no other instance can be asked.
    ShardRelay *relay = nullptr;
    /// Part of the endpoints' connections that this instance may use, above 0 and at most 1.
    double fleetShare = 1;
};

/// One admitted request.
struct AdmittedRequest
{
    CallerRequestPtr request;
    /// Keeps @p route alive.
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    OrganisationId organisation;
    /// The earlier of the caller's deadline and the route's timeout.
    TimePoint deadline;
    /// Endpoints of one service that may be asked, when another instance may ask further ones; otherwise as many as the
    /// route allows.
    std::optional<int> attemptLimit;

    int maxAttempts() const
    {
        return this->attemptLimit.value_or(this->route->maxAttempts);
    }
};

}
