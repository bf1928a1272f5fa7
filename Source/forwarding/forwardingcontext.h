#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "forwarding/endpointchooser.h"
#include "forwarding/fleetretrybudget.h"
#include "forwarding/latencymodel.h"
#include "forwarding/messages.h"
#include "forwarding/organisationquota.h"
#include "forwarding/overloadcontrol.h"
#include "forwarding/requestlog.h"
#include "forwarding/responsememory.h"
#include "forwarding/shardrelay.h"
#include "forwarding/throttledadmission.h"
#include "forwarding/weightedroundrobin.h"

namespace Lycheewall
{

/// The services and state that all requests of one instance use. All references outlive the requests.
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
    Random &random;
    ThrottledAdmission &throttledAdmission;
    OverloadControl &overloadControl;
    /// Bounds what queries hold while they wait for shards. Not null; requests may outlive the context.
    std::shared_ptr<ResponseMemory> responseMemory;
    /// nullptr if shard requests cannot be relayed through other instances.
    ShardRelay *relay = nullptr;
};

/// One admitted request.
struct AdmittedRequest
{
    CallerRequestPtr request;
    /// Owns the object that @p route points to.
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    OrganisationId organisation;
    /// The service that the request goes to, if the route has no shards; startExchange() selects it.
    ServiceId service;
    /// The earlier of the caller's deadline and the route's timeout.
    TimePoint deadline;
    /// Maximum number of attempts per service, if the requesting and the relaying instance share the attempts of the
    /// route; std::nullopt if Route::maxAttempts applies.
    std::optional<int> attemptLimit;

    int maxAttempts() const
    {
        return this->attemptLimit.value_or(this->route->maxAttempts);
    }

    /// The specification of the organisation; nullptr on public routes.
    const OrganisationSpec *organisationSpec() const
    {
        const auto entry = this->table->organisations().find(this->organisation);
        return entry == this->table->organisations().end() ? nullptr : &entry->second;
    }

    /// 0 is the highest priority. The organisation's own one takes precedence over that of the route.
    int priority() const
    {
        const OrganisationSpec *spec = this->organisationSpec();
        return spec == nullptr ? this->route->priority : spec->priority.value_or(this->route->priority);
    }
};

}
