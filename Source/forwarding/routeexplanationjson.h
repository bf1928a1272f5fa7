#pragma once

#include "forwarding/routeexplanation.h"

#include <string>

namespace Lycheewall
{

/// Encodes an explanation as JSON on one line. Times are in milliseconds. Bytes that are not UTF-8 are replaced. Thread
/// safety: any thread.
std::string encodeAsJson(const RouteExplanation &explanation);

}
