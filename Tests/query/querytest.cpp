#include "query/query.h"
#include "core/manualclock.h"
#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(QueryTest)

namespace
{

/// Router whose groups serve versions as told; it may deliver late, twice, crossed, for another version or never.
class FakeRouter : public PartRouter
{
public:
    struct Delivery
    {
        std::uint64_t submission;
        PartOutcome outcome;
    };

    FakeRouter(ManualClock &manualClock, std::uint64_t seed)
        : random(seed)
        , clock(manualClock)
    {
    }

    std::uint64_t submit(PartRequest request, Callback callback) override
    {
        const std::uint64_t number = ++this->last;
        this->requests[number] = request;
        for (const GroupId &group : request.groups) {
            this->answer(number, group, request, callback);
        }
        return number;
    }
    void cancel(std::uint64_t submission) override
    {
        this->cancelled.insert(submission);
    }

    bool chaotic = false;
    bool mute = false;
    /// Versions that a group does not have.
    std::map<GroupId, std::set<SnapshotVersion>> missing;
    Random random;
    std::map<std::uint64_t, PartRequest> requests;
    std::set<std::uint64_t> cancelled;
    std::vector<Delivery> delivered;

private:
    void answer(std::uint64_t number, const GroupId &group, const PartRequest &request, const Callback &callback)
    {
        PartOutcome outcome;
        outcome.group = group;
        outcome.snapshot = request.snapshot;
        outcome.outcome = AttemptOutcome::Answered;
        outcome.documents = 100;
        if (this->missing[group].count(request.snapshot) > 0) {
            outcome.outcome = AttemptOutcome::NotRun;
            outcome.reason = Refusal::SnapshotUnavailable;
        }
        const std::uint64_t fault = this->chaotic ? this->random.uniformInteger(20) : 20;
        if (fault == 0 || this->mute) {
            return;
        }
        if (fault == 1) {
            outcome.outcome = AttemptOutcome::Unknown;
            outcome.reason = Refusal::ConnectionLost;
        } else if (fault == 2) {
            outcome.snapshot = SnapshotVersion(request.snapshot.value() % 3 + 1);
        } else if (fault == 3) {
            outcome.group = GroupId(this->random.uniformInteger(2) == 0 ? "a" : "x");
        }
        outcome.body = outcome.group.value() + "@" + std::to_string(outcome.snapshot.value());
        this->deliver(number, outcome, callback);
        if (fault == 4) {
            this->deliver(number, outcome, callback);
        }
    }
    void deliver(std::uint64_t number, const PartOutcome &outcome, const Callback &callback)
    {
        const Duration delay = Milliseconds(1 + this->random.uniformInteger(this->chaotic ? 130 : 10));
        this->timers.push_back(this->clock.after(delay, [this, number, outcome, callback] {
            this->delivered.push_back(Delivery { number, outcome });
            callback(outcome);
        }));
    }

    ManualClock &clock;
    std::uint64_t last = 0;
    std::vector<Subscription> timers;
};

/// Three versions of one index; the second and third are repartitions.
std::shared_ptr<Pool> makePool(std::uint64_t newest)
{
    const auto pool = std::make_shared<Pool>();
    pool->id = PoolId("p");
    pool->sharded = true;
    const std::vector<std::vector<const char *>> shards { { "a", "b", "c" }, { "a", "b", "c", "d" }, { "a", "x" } };
    for (std::uint64_t version = 1; version <= newest; ++version) {
        Snapshot snapshot;
        snapshot.version = SnapshotVersion(version);
        for (const char *shard : shards[version - 1]) {
            snapshot.documents[GroupId(shard)] = 100;
        }
        pool->snapshots.push_back(snapshot);
    }
    return pool;
}

/// What is wrong with an answer, judged by what the router delivered in time; empty when nothing is.
std::string fault(const QueryAnswer &answer, const Pool &pool, const std::vector<FakeRouter::Delivery> &delivered)
{
    const Snapshot *snapshot = &pool.snapshots.at(answer.snapshot.value() - 1);
    std::uint64_t final = 0;
    for (const auto &delivery : delivered) {
        final = std::max(final, delivery.submission);
    }
    std::set<GroupId> answered;
    for (const auto &[submission, outcome] : delivered) {
        const bool counts = submission == final && outcome.outcome == AttemptOutcome::Answered
            && outcome.snapshot == answer.snapshot && snapshot->documents.count(outcome.group) > 0;
        if (counts) {
            answered.insert(outcome.group);
        }
    }
    std::set<GroupId> seen;
    for (const PartResult &result : answer.results) {
        if (result.body != result.group.value() + "@" + std::to_string(answer.snapshot.value())) {
            return "result of another snapshot or shard";
        }
        if (!seen.insert(result.group).second || snapshot->documents.count(result.group) == 0) {
            return "repeated or unlisted shard";
        }
    }
    for (const GroupId &group : seen) {
        if (answered.count(group) == 0) {
            return "a result that nobody sent";
        }
    }
    const Coverage &coverage = answer.coverage;
    if (coverage.shardsAsked() != snapshot->documents.size()
        || coverage.documentsAsked() != 100 * snapshot->documents.size()) {
        return "wrong total";
    }
    if (coverage.shardsAnswered() != seen.size() || coverage.documentsAnswered() != 100 * seen.size()) {
        return "coverage differs from the results";
    }
    for (const MissingPart &part : coverage.missing()) {
        if (!seen.insert(part.group).second || part.reason == Refusal::None) {
            return "missing shard without a reason";
        }
    }
    return seen.size() == snapshot->documents.size() ? "" : "a shard is neither answered nor missing";
}

/// The plain version: takes whatever comes until as many answers came as groups were asked, and counts those.
QueryAnswer plainAnswer(const Pool &pool, std::size_t groups, const std::vector<FakeRouter::Delivery> &delivered)
{
    QueryAnswer answer;
    answer.snapshot = pool.snapshots.back().version;
    Snapshot seen;
    for (const auto &[submission, outcome] : delivered) {
        if (outcome.outcome == AttemptOutcome::Answered && answer.results.size() < groups) {
            answer.results.push_back(PartResult { outcome.group, outcome.body });
            seen.documents[outcome.group] = outcome.documents;
        }
    }
    answer.coverage = Coverage(seen, Refusal::None);
    for (const auto &[group, documents] : seen.documents) {
        answer.coverage.answer(group, documents);
    }
    return answer;
}

struct Setup
{
    explicit Setup(std::uint64_t seed, std::uint64_t newest = 3)
        : router(clock, seed)
        , snapshots(clock)
        , pool(makePool(newest))
        , context { clock, clock, router, snapshots, counters }
    {
    }
    std::shared_ptr<Query> start(Duration deadline = 100ms)
    {
        QuerySpec spec { RequestId("r"), OrganisationId("o"),          WorkClass::Interactive,
                         this->pool,     this->clock.now() + deadline, "find" };
        return Query::start(this->context, spec, [this](const QueryAnswer &answer) {
            this->answers.push_back(answer);
            this->doneAt = this->clock.now();
            this->inTime = this->router.delivered;
        });
    }
    std::uint64_t dropped(const char *reason) const
    {
        return this->counters.value("lycheewall_query_answers_dropped_total{reason=\"" + std::string(reason) + "\"}");
    }

    ManualClock clock;
    FakeRouter router;
    SnapshotChooser snapshots;
    Counters counters;
    std::shared_ptr<Pool> pool;
    QueryContext context;
    std::vector<QueryAnswer> answers;
    std::vector<FakeRouter::Delivery> inTime;
    TimePoint doneAt;
};

const GroupId groupA("a");
const GroupId groupC("c");

}

// Guards against answers that mix snapshots, overstate coverage, come twice or come after the deadline, under version
// rolls, repartitions and answers that are late, repeated, crossed, of another version or absent.
BOOST_AUTO_TEST_CASE(chaosNeverYieldsAnUntrueAnswer)
{
    int plainFaults = 0;
    int restarts = 0;
    std::map<std::string, std::uint64_t> drops;
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round) {
        Setup setup(static_cast<std::uint64_t>(round), 1 + static_cast<std::uint64_t>(round) % 3);
        setup.router.chaotic = true;
        for (const char *group : { "a", "b", "c", "d", "x" }) {
            if (setup.router.random.uniformInteger(8) == 0) {
                setup.router.missing[GroupId(group)].insert(SnapshotVersion(1 + setup.router.random.uniformInteger(3)));
            }
        }
        const TimePoint deadline = setup.clock.now() + 100ms;
        const auto query = setup.start();
        BOOST_TEST(setup.answers.empty());
        setup.clock.advance(400ms);
        BOOST_REQUIRE(setup.answers.size() == 1U);
        BOOST_TEST((setup.doneAt <= deadline));
        BOOST_TEST(fault(setup.answers[0], *setup.pool, setup.inTime) == "");
        restarts += setup.answers[0].restarts;
        const std::size_t asked = setup.pool->snapshots.back().documents.size();
        plainFaults += fault(plainAnswer(*setup.pool, asked, setup.inTime), *setup.pool, setup.inTime).empty() ? 0 : 1;
        for (const char *reason :
             { "finished-query", "restarted-query", "another-group", "repeated-part", "snapshot-mismatch" }) {
            drops[reason] += setup.dropped(reason);
        }
    }
    BOOST_TEST_MESSAGE("queries " << rounds << ": untrue answers of the plain version " << plainFaults
                                  << ", current 0; restarts " << restarts);
    BOOST_TEST(plainFaults > 0);
    BOOST_TEST(restarts > 0);
    for (const auto &[reason, count] : drops) {
        BOOST_TEST_MESSAGE("dropped " << reason << ": " << count);
        BOOST_TEST(count > 0U);
    }
}

// Guards against a query that gives up coverage although an older listed snapshot is whole, or starts again without
// end.
BOOST_AUTO_TEST_CASE(startsAgainAtAnotherSnapshotTwiceAtMost)
{
    Setup setup(1);
    setup.router.missing[groupA] = { SnapshotVersion(2), SnapshotVersion(3) };
    const auto query = setup.start();
    setup.clock.advance(100ms);
    BOOST_REQUIRE(setup.answers.size() == 1U);
    BOOST_TEST((setup.answers[0].snapshot == SnapshotVersion(1)));
    BOOST_TEST(setup.answers[0].restarts == 2);
    BOOST_TEST(setup.answers[0].coverage.isComplete());
    BOOST_TEST(setup.router.cancelled.count(1) == 1U);
    // The notes send the next query to the right snapshot at once, until they expire.
    const auto next = setup.start();
    BOOST_TEST((setup.router.requests[4].snapshot == SnapshotVersion(1)));
    setup.clock.advance(600ms);
    const auto later = setup.start();
    BOOST_TEST((setup.router.requests[5].snapshot == SnapshotVersion(3)));
    setup.clock.advance(100ms);
}

// Guards against a refusal where a partial answer is possible, and against a restart that cannot end in time.
BOOST_AUTO_TEST_CASE(answersWithLessCoverageWhenNoSnapshotIsWhole)
{
    Setup setup(2, 1);
    setup.router.missing[groupC] = { SnapshotVersion(1) };
    for (int round = 0; round < 2; ++round) {
        const auto query = setup.start();
        setup.clock.advance(100ms);
        BOOST_REQUIRE(setup.answers.size() == static_cast<std::size_t>(round) + 1);
        const QueryAnswer &answer = setup.answers.back();
        BOOST_TEST((answer.refusal == Refusal::None));
        BOOST_TEST(answer.coverage.documentsAnswered() == 200U);
        BOOST_REQUIRE(answer.coverage.missing().size() == 1U);
        BOOST_TEST((answer.coverage.missing()[0].reason == Refusal::SnapshotUnavailable));
    }
    Setup hurried(3);
    hurried.router.missing[groupA] = { SnapshotVersion(3) };
    const auto query = hurried.start(20ms);
    hurried.clock.advance(100ms);
    BOOST_REQUIRE(hurried.answers.size() == 1U);
    BOOST_TEST(hurried.answers[0].restarts == 0);
}

// Guards against a query that outlives its deadline, leaves work behind, or answers inside start().
BOOST_AUTO_TEST_CASE(endsOnceAtTheDeadlineOrWhenCancelled)
{
    Setup setup(4);
    setup.router.mute = true;
    setup.start();
    setup.clock.advance(99ms);
    BOOST_TEST(setup.answers.empty());
    setup.clock.advance(1ms);
    BOOST_REQUIRE(setup.answers.size() == 1U);
    BOOST_TEST((setup.answers[0].refusal == Refusal::DeadlineExceeded));
    BOOST_TEST(setup.answers[0].coverage.missing().size() == 2U);
    BOOST_TEST(setup.router.cancelled.count(1) == 1U);
    setup.start()->cancel();
    BOOST_REQUIRE(setup.answers.size() == 2U);
    BOOST_TEST((setup.answers[1].refusal == Refusal::Cancelled));
    BOOST_TEST(setup.router.cancelled.count(2) == 1U);
    setup.start(-1ms);
    BOOST_TEST(setup.answers.size() == 2U);
    setup.pool = makePool(0);
    setup.start();
    setup.clock.advance(200ms);
    BOOST_REQUIRE(setup.answers.size() == 4U);
    BOOST_TEST((setup.answers[2].refusal == Refusal::DeadlineExceeded));
    BOOST_TEST((setup.answers[3].refusal == Refusal::SnapshotUnavailable));
    BOOST_TEST(setup.router.requests.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
