#pragma once

#include "coordinator/callerrequest.h"
#include "core/counters.h"
#include "query/partrouter.h"
#include "routing/groupchooser.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace Lycheewall
{

/// Everything referred to outlives the requests.
struct SingleRequestContext
{
    const Clock &clock;
    PartRouter &router;
    GroupChooser &groups;
    Counters &counters;
};

/**
 * A request to one server of a pool. It goes to another group only after a refusal that says that it did not run, so a
 * request that must not be repeated runs at most once.
 * Thread safety: any thread. It keeps itself alive until it is done.
 */
class SingleRequest : public std::enable_shared_from_this<SingleRequest>
{
    struct Private
    {
        explicit Private() = default;
    };

public:
    using Done = std::function<void(CallerAnswer)>;

    /// Groups that are tried at most.
    static constexpr std::size_t maxGroups = 3;

    /// @p done runs exactly once, about the deadline at the latest.
    static void start(const SingleRequestContext &context,
                      CallerRequest request,
                      OrganisationId organisation,
                      std::shared_ptr<const Pool> pool,
                      Done done);

    SingleRequest(Private,
                  const SingleRequestContext &requestContext,
                  CallerRequest callerRequest,
                  OrganisationId callerOrganisation,
                  std::shared_ptr<const Pool> requestPool,
                  Done whenDone);

private:
    void tryNext(PartOutcome last);
    void take(const PartOutcome &outcome);
    void finish(const PartOutcome &outcome);

    const SingleRequestContext context;
    const CallerRequest request;
    const OrganisationId organisation;
    const std::shared_ptr<const Pool> pool;
    const TimePoint deadline;
    Done done;
    /// Only one part is under way at a time, so the members below need no lock.
    std::set<GroupId> tried;
    std::vector<PartTrace> trace;
};

}
