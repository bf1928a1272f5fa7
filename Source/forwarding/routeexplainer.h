#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/routeexplanation.h"
#include "forwarding/shardselection.h"

namespace Lycheewall
{

/// The instance that explains.
struct ExplainingInstance
{
    InstanceId id;
    ZoneId zone;
};

/**
 * Explains where a request would go now, and why, by the decisions that are made for requests of callers. Changes
 * nothing: no token is taken, no random number drawn and nothing counted. Limits of accepted connections are not
 * considered.
 * Thread safety: none; used on the thread of the request loop.
 */
class RouteExplainer
{
public:
    /// The references must outlive the explainer.
    struct Context
    {
        const ForwardingContext &forwarding;
        const Forwarder &forwarder;
        const FeedFreshness &freshness;
        const ConnectionUsageSource &connections;
    };

    RouteExplainer(const Context &context, ExplainingInstance instance);

    RouteExplanation explain(const RouteQuery &query) const;

private:
    /// Explain the services of a route without and with shards, and the admission if nothing before has refused it.
    void explainServices(AdmittedRequest &request, RouteExplanation &explanation) const;
    void explainShards(const AdmittedRequest &request, RouteExplanation &explanation) const;
    void explainOverload(const AdmittedRequest &request, RouteExplanation &explanation) const;

    Context context;
    ExplainingInstance instance;
};

}
