#pragma once

#include "forwarding/routeexplanation.h"

#include <string>

namespace Lycheewall
{

/// Encodes an explanation as lines of text for people. Thread safety: any thread.
std::string encodeAsText(const RouteExplanation &explanation);

}
