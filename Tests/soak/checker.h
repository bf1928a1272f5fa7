#pragma once

#include "observations.h"

namespace Soak
{

/// The part of the configuration that the checker needs.
struct CheckedConfiguration
{
    /// Number of shards of the search route.
    int shards = 0;
    /// Requests per second and burst of the organisation "limited".
    double organisationRate = 0;
    double organisationBurst = 0;
    /// A request that was sent this long after its key was withdrawn must not run.
    double revocationSeconds = 0;
};

/// Checks the promises of the platform's pages on what callers and endpoints have seen. Each violation is one line of
/// text.
std::vector<std::string> findViolations(const Observations &observations, const CheckedConfiguration &configuration);

}
