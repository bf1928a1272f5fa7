#pragma once

#include "forwarding/forwardingcontext.h"
#include "forwarding/routeexplanation.h"

namespace Lycheewall
{

/// Explains which endpoint of @p service the first attempt of @p request would be sent to now, and why not to the
/// others. Lists at most @p maxEndpoints, at least one, and counts the others. Changes nothing. Thread safety: none;
/// used on the thread of the request loop.
ServiceExplanation explainService(const ForwardingContext &context,
                                  const ConnectionUsageSource &connections,
                                  const AdmittedRequest &request,
                                  const ServiceId &service,
                                  std::size_t maxEndpoints);

/// The endpoint of @p service that the first attempt of @p request would be sent to now; std::nullopt if none takes it.
/// Thread safety: none; used on the thread of the request loop.
std::optional<EndpointId>
likeliestEndpoint(const ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service);

/// True if an endpoint of @p service takes the request now. Thread safety: none; used on the thread of the request
/// loop.
bool hasUsableEndpoint(const ForwardingContext &context, const AdmittedRequest &request, const ServiceId &service);

}
