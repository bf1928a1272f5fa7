#pragma once

#include "observations.h"

namespace Soak
{

/// Checks the promises of the platform's pages on what callers and endpoints have seen. Each violation is one line of
/// text. @p shards is the number of shards of the search route.
std::vector<std::string> findViolations(const Observations &observations, int shards);

}
