#include "core/manualclock.h"
#include "core/random.h"
#include "routing/fakes.h"
#include "routing/ownerrouter.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

const PoolId pool("p");
const std::vector<GroupId> allGroups { GroupId("g0"), GroupId("g1"), GroupId("g2"), GroupId("g3") };
const std::vector<InstanceId> instances { InstanceId("self"), InstanceId("a"), InstanceId("b"), InstanceId("c") };

/// What the checker knows of one part.
struct PartRecord
{
    bool idempotent = true;
    bool cancelled = false;
    int runs = 0;
    int callbacks = 0;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
};

struct Totals
{
    std::map<AttemptOutcome, int> outcomes;
    std::uint64_t late = 0;
    std::uint64_t retries = 0;
    int fullQueues = 0;
    int cancels = 0;
};

/// One random schedule. Each step of one millisecond may bring answers, faults, moves and new submissions.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random(seed)
    {
        for (const GroupId &group : allGroups) {
            this->move(group);
        }
    }

    void run(Totals &totals)
    {
        for (int step = 0; step < 600; ++step) {
            if (step < 300 && this->random.uniformInteger(10) == 0) {
                this->submit(step);
            }
            this->disturb(totals);
            this->serve();
            this->deliver();
            this->clock.advance(1ms);
        }
        this->check(totals);
    }

private:
    using PartKey = std::pair<RequestId, GroupId>;
    struct Due
    {
        TimePoint when;
        InstanceId from;
        SubAnswer answer;
    };

    const InstanceId &anyInstance()
    {
        return instances[this->random.uniformInteger(instances.size())];
    }
    void move(const GroupId &group)
    {
        this->directory.holders[groupResource(pool, group)] = this->anyInstance();
    }
    void submit(int step)
    {
        PartRequest request;
        request.request = RequestId(std::to_string(step));
        request.pool = pool;
        request.groups = allGroups;
        request.idempotent = this->random.uniformInteger(2) == 0;
        request.remaining = Milliseconds(this->random.uniformInteger(200));
        for (const GroupId &group : allGroups) {
            this->records[{ request.request, group }].idempotent = request.idempotent;
        }
        const RequestId id = request.request;
        const std::uint64_t number = this->router.submit(request, [this, id](const PartOutcome &outcome) {
            PartRecord &record = this->records.at({ id, outcome.group });
            ++record.callbacks;
            record.outcome = outcome.outcome;
            BOOST_TEST(!record.cancelled, "callback after cancel");
        });
        this->submissions.emplace_back(number, id);
    }
    void disturb(Totals &totals)
    {
        const std::uint64_t kind = this->random.uniformInteger(40);
        const InstanceId &peer = this->anyInstance();
        if (kind == 0) {
            this->router.peerLost(peer);
        } else if (kind <= 3) {
            this->move(allGroups[this->random.uniformInteger(allGroups.size())]);
        } else if (kind == 4) {
            this->directory.silent.insert(peer);
        } else if (kind == 5) {
            this->directory.silent.erase(peer);
        } else if (kind == 6) {
            const std::vector<SendResult> results { SendResult::QueueFull, SendResult::Unreachable };
            this->transport.results[peer] = results[this->random.uniformInteger(2)];
            ++totals.fullQueues;
        } else if (kind <= 8) {
            this->transport.results.clear();
        } else if (kind == 9) {
            this->groups.owning = !this->groups.owning;
        } else if (kind == 10 && !this->submissions.empty()) {
            this->cancel(this->submissions[this->random.uniformInteger(this->submissions.size())]);
            ++totals.cancels;
        }
    }
    void cancel(const std::pair<std::uint64_t, RequestId> &submission)
    {
        this->router.cancel(submission.first);
        for (const GroupId &group : allGroups) {
            PartRecord &record = this->records.at({ submission.second, group });
            record.cancelled = record.callbacks == 0;
        }
    }

    /// Decides what the receivers of new frames and tasks do with them.
    void serve()
    {
        for (const auto &[peer, request] : this->transport.all<SubRequest>()) {
            for (const GroupId &group : request.parts) {
                this->serveRemote(peer, request, group);
            }
        }
        this->transport.sent.clear();
        std::vector<TaskId> ending;
        for (const auto &[id, task] : this->groups.tasks) {
            if (this->random.uniformInteger(20) == 0) {
                ending.push_back(id);
            }
        }
        for (const TaskId id : ending) {
            const FakeGroups::Task &task = this->groups.tasks.at(id);
            const AttemptOutcome outcome = this->decide({ task.task.request, task.group });
            this->groups.end(id, outcome, this->reason(outcome));
        }
    }
    void serveRemote(const InstanceId &peer, const SubRequest &request, const GroupId &group)
    {
        SubAnswer answer;
        answer.id = request.id;
        answer.part = group;
        answer.outcome = this->decide({ request.request, group });
        answer.reason = this->reason(answer.outcome);
        if (this->random.uniformInteger(2) == 0) {
            answer.holder = this->anyInstance();
        }
        const std::uint64_t fate = this->random.uniformInteger(10);
        if (fate == 0) {
            return;
        }
        const std::uint64_t longest = fate == 1 ? 300 : 40;
        const int copies = fate == 2 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            this->due.push_back(
                { this->clock.now() + Milliseconds(this->random.uniformInteger(longest)), peer, answer });
        }
    }
    /// Runs the part or refuses it.
    AttemptOutcome decide(const PartKey &key)
    {
        const std::uint64_t kind = this->random.uniformInteger(6);
        if (kind < 3) {
            return AttemptOutcome::NotRun;
        }
        ++this->records.at(key).runs;
        return kind == 3 ? AttemptOutcome::Unknown : AttemptOutcome::Answered;
    }
    Refusal reason(AttemptOutcome outcome)
    {
        if (outcome == AttemptOutcome::Answered) {
            return Refusal::None;
        }
        const std::vector<Refusal> reasons {
            Refusal::NotOwner, Refusal::StaleConfiguration, Refusal::NotOwner, Refusal::QueueFull
        };
        return reasons[this->random.uniformInteger(reasons.size())];
    }
    void deliver()
    {
        std::vector<Due> now;
        for (auto entry = this->due.begin(); entry != this->due.end();) {
            if (entry->when <= this->clock.now()) {
                now.push_back(*entry);
                entry = this->due.erase(entry);
            } else {
                ++entry;
            }
        }
        for (const Due &entry : now) {
            this->router.handle(entry.from, entry.answer);
        }
    }

    void check(Totals &totals)
    {
        BOOST_TEST(this->router.pending() == 0U);
        for (const auto &[key, record] : this->records) {
            BOOST_TEST_CONTEXT("request " << key.first << ", group " << key.second)
            {
                BOOST_TEST(record.callbacks == (record.cancelled ? 0 : 1));
                BOOST_TEST((record.idempotent || record.runs <= 1), "a non-idempotent part ran twice");
                const bool claimsNotRun = record.callbacks > 0 && record.outcome == AttemptOutcome::NotRun;
                BOOST_TEST((!claimsNotRun || record.runs == 0), "NotRun was reported for a part that ran");
            }
            totals.outcomes[record.outcome] += record.callbacks;
        }
        totals.late += this->counters.value("lycheewall_routing_late_answers_total");
        totals.retries += this->counters.value("lycheewall_routing_retries_total{reason=\"link-lost\"}");
    }

    Random random;
    ManualClock clock;
    Counters counters;
    FakeTransport transport;
    FakeDirectory directory;
    FakeGroups groups;
    OwnerRouter router { instances[0], clock, clock, transport, directory, groups, counters };
    std::map<PartKey, PartRecord> records;
    std::vector<std::pair<std::uint64_t, RequestId>> submissions;
    std::vector<Due> due;
};

}

BOOST_AUTO_TEST_SUITE(RouterScheduleTest)

// Guards against parts that end twice or never, second runs of non-idempotent work, and false reports of "not run" when
// answers, lost links, moves, full queues, cancels and deadlines cross.
BOOST_AUTO_TEST_CASE(eachPartEndsExactlyOnce)
{
    constexpr std::uint64_t seeds = 300;
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Schedule schedule(seed);
            schedule.run(totals);
        }
    }
    BOOST_TEST_MESSAGE("answered " << totals.outcomes[AttemptOutcome::Answered] << ", not run "
                                   << totals.outcomes[AttemptOutcome::NotRun] << ", unknown "
                                   << totals.outcomes[AttemptOutcome::Unknown] << ", late answers " << totals.late
                                   << ", sent again after a lost link " << totals.retries);
    // A schedule that never reaches a case proves nothing about it.
    for (const AttemptOutcome outcome : { AttemptOutcome::Answered, AttemptOutcome::NotRun, AttemptOutcome::Unknown }) {
        BOOST_TEST(totals.outcomes[outcome] > 1000);
    }
    BOOST_TEST(totals.late > 1000U);
    BOOST_TEST(totals.retries > 100U);
    BOOST_TEST(totals.fullQueues > 100);
    BOOST_TEST(totals.cancels > 100);
}

BOOST_AUTO_TEST_SUITE_END()
