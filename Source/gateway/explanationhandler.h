#pragma once

#include "forwarding/routeexplainer.h"
#include "gateway/auxiliaryserver.h"

#include <string>

namespace Lycheewall
{

/// Answers a request for an explanation. The status is 404 if no route matches or the organisation is unknown, and 503
/// if the instance cannot tell because of missing or old feed data; the body is an explanation in all these cases. It
/// is 400 with a message for invalid parameters. Precondition: isExplanationTarget(@p target). Thread safety: none;
/// used on the thread of the request loop.
AuxiliaryResponse handleExplanationRequest(const RouteExplainer &explainer, const std::string &target);

}
