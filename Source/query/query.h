#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "query/coverage.h"
#include "query/partrouter.h"
#include "query/snapshotchooser.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Lycheewall
{

/// A question to every shard of a pool. Queries only read, so their parts are idempotent.
struct QuerySpec
{
    RequestId request;
    OrganisationId organisation;
    WorkClass workClass = WorkClass::Interactive;
    /// The pool of one catalogue version; later versions do not change a running query. Precondition: sharded.
    std::shared_ptr<const Pool> pool;
    TimePoint deadline;
    std::string body;
};

/// Everything referred to outlives the queries.
struct QueryContext
{
    const Clock &clock;
    TimerService &timers;
    PartRouter &router;
    SnapshotChooser &snapshots;
    Counters &counters;
};

struct PartResult
{
    GroupId group;
    std::string body;
};

/// How one part of a query ended, for the operators' view of the request.
struct PartTrace
{
    GroupId group;
    /// 0 for the first try of the query, 1 and 2 for restarts.
    int restart = 0;
    SnapshotVersion snapshot;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    Refusal reason = Refusal::None;
    EndpointId endpoint;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    Duration queued {};
    Duration service {};
    std::uint32_t queueLength = 0;
};

struct QueryAnswer
{
    /// None when at least one shard answered; otherwise why there is no answer.
    Refusal refusal = Refusal::None;
    SnapshotVersion snapshot;
    Coverage coverage;
    /// In the order of the group names, all from `snapshot`.
    std::vector<PartResult> results;
    std::vector<PartTrace> trace;
    int restarts = 0;
};

/**
 * One running query: pins a snapshot, sends the parts, starts again at another snapshot when one is not available, and
 * answers with the coverage. It keeps itself alive until it is done.
 * Thread safety: any thread.
 */
class Query : public std::enable_shared_from_this<Query>
{
    struct Private
    {
        explicit Private() = default;
    };

public:
    using Done = std::function<void(QueryAnswer)>;

    /// How often a query starts again at another snapshot.
    static constexpr int maxRestarts = 2;

    /// @p done runs exactly once, at the latest at the deadline, without locks held and never inside start().
    static std::shared_ptr<Query> start(const QueryContext &context, QuerySpec spec, Done done);

    /// Gives the query up, for a caller that went away. @p done runs with Refusal::Cancelled unless it already ran;
    /// it runs inside cancel().
    void cancel();

    Query(Private, const QueryContext &queryContext, QuerySpec querySpec, Done whenDone);

private:
    /// What has to happen once the lock is released.
    struct Steps
    {
        /// Submission to cancel; 0 for none.
        std::uint64_t cancel = 0;
        std::optional<PartRequest> request;
        /// Number of restarts before `request`.
        int attempt = 0;
        /// Destroyed without the lock, because it may hold the last reference to the query.
        Subscription timer;
        Done done;
        QueryAnswer answer;
    };

    // Without the lock.
    void begin();
    void end(Refusal whenEmpty);
    void take(int attempt, PartOutcome outcome);
    void perform(Steps steps);
    void send(PartRequest request, int attempt);

    // With the lock.
    bool isExpected(int attempt, const PartOutcome &outcome);
    Steps settle(PartOutcome outcome);
    std::optional<Steps> startAgain();
    void pin(SnapshotVersion version);
    PartRequest request(TimePoint now) const;
    Steps finish(Refusal whenEmpty);
    bool drop(const char *reason);

    const QueryContext context;
    const QuerySpec spec;

    std::mutex mutex;
    Done done;
    Subscription timer;
    SnapshotVersion snapshot;
    std::set<SnapshotVersion> tried;
    std::set<GroupId> open;
    Coverage coverage;
    std::vector<PartResult> results;
    std::vector<PartTrace> trace;
    int restarts = 0;
    std::uint64_t submission = 0;
    bool finished = false;
};

}
