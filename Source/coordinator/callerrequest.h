#pragma once

#include "core/execution.h"
#include "query/query.h"

#include <optional>
#include <string>
#include <vector>

namespace Lycheewall
{

/// What a caller asks of a pool.
struct CallerRequest
{
    RequestId id;
    PoolId pool;
    std::optional<std::string> key;
    /// True for a query of all shards, false for a request to one server.
    bool query = true;
    bool idempotent = true;
    /// Requests with the same routing key go to the same group.
    std::optional<std::string> routingKey;
    Duration deadline {};
    /// JSON text for the endpoints.
    std::string body;
};

/// How a caller's request ended.
struct CallerAnswer
{
    RequestId id;
    /// Refusal::None when there is a result.
    Refusal refusal = Refusal::None;
    /// What is known of whether an endpoint has run the request.
    Execution execution = Execution::NotRun;
    Duration retryAfter {};
    OrganisationId organisation;
    SnapshotVersion snapshot;
    Coverage coverage;
    std::vector<PartResult> results;
    std::vector<PartTrace> trace;
    int restarts = 0;
};

}
