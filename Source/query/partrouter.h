#pragma once

#include "scheduling/endpointtransport.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Lycheewall
{

/// The same work for several groups of a pool.
struct PartRequest
{
    RequestId request;
    OrganisationId organisation;
    PoolId pool;
    std::vector<GroupId> groups;
    /// The index version that has to answer; 0 for pools without snapshots.
    SnapshotVersion snapshot;
    bool idempotent = true;
    /// Time left until the caller's deadline.
    Duration remaining {};
    std::string body;
};

/// How the part of one group ended.
struct PartOutcome
{
    GroupId group;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    /// Refusal::None when answered.
    Refusal reason = Refusal::None;
    SnapshotVersion snapshot;
    std::uint64_t documents = 0;
    std::string body;
    EndpointId endpoint;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    Duration queued {};
    Duration service {};
    std::uint32_t queueLength = 0;
};

/**
 * Sends parts to the owners of their groups.
 * Thread safety: any thread. The callback of submit() runs once for each group, on any thread, never inside submit() or
 * cancel().
 */
class PartRouter
{
public:
    using Callback = std::function<void(PartOutcome)>;

    virtual ~PartRouter() = default;

    /// Returns a number for cancel(), never 0.
    virtual std::uint64_t submit(PartRequest request, Callback callback) = 0;

    /// Gives up what still runs of a submission. Unknown numbers are ignored.
    virtual void cancel(std::uint64_t submission) = 0;
};

}
