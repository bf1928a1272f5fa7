#pragma once

#include "coordinator/callerrequest.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace Lycheewall
{

/// What is kept of a finished request, without its body and results.
struct RequestTrace
{
    PoolId pool;
    OrganisationId organisation;
    Refusal refusal = Refusal::None;
    Execution execution = Execution::NotRun;
    SnapshotVersion snapshot;
    Coverage coverage;
    std::vector<PartTrace> parts;
    int restarts = 0;
    Duration total {};
};

/**
 * The requests that finished last, for operators.
 * Thread safety: any thread.
 */
class RequestTraces
{
public:
    static constexpr std::size_t capacity = 2000;

    void add(const RequestId &id, RequestTrace trace);

    /// Null when the request is not among the kept ones.
    std::shared_ptr<const RequestTrace> find(const RequestId &id) const;

private:
    mutable std::mutex mutex;
    std::deque<RequestId> order;
    std::map<RequestId, std::shared_ptr<const RequestTrace>> byId;
};

}
