#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "forwarding/backendsplit.h"
#include "forwarding/endpointchooser.h"
#include "forwarding/latencymodel.h"
#include "forwarding/messages.h"
#include "forwarding/organisationquota.h"
#include "forwarding/partrelay.h"
#include "forwarding/repeatbudget.h"
#include "forwarding/requestjournal.h"

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
    EndpointCaller &caller;
    RepeatBudget &budget;
    LatencyModel &latencies;
    BackendSplit &split;
    OrganisationQuota &quota;
    RequestJournal &journal;
    /// Null where no other instance can be asked.
    PartRelay *relay = nullptr;
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
    std::optional<int> attempts;

    int mostAttempts() const
    {
        return this->attempts.value_or(this->route->maxAttempts);
    }
};

}
