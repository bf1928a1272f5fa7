#include "coordinator/singlerequest.h"
#include "coordinator/fakes.h"
#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    ManualClock clock;
    Counters counters;
    Random random { 1 };
    GroupChooser groups { random };
    FakeRouter router;
    std::vector<CallerAnswer> answers;

    void start(bool idempotent, int groupCount = 5, const std::optional<std::string> &routingKey = std::nullopt)
    {
        const auto pool = std::make_shared<Pool>();
        pool->id = PoolId("p");
        for (int index = 0; index < groupCount; ++index) {
            pool->groups.push_back(Group { GroupId("g" + std::to_string(index)), {} });
        }
        CallerRequest request;
        request.id = RequestId("r");
        request.query = false;
        request.idempotent = idempotent;
        request.routingKey = routingKey;
        request.deadline = 1s;
        SingleRequest::start({ this->clock, this->router, this->groups, this->counters },
                             request,
                             OrganisationId("x"),
                             pool,
                             [this](const CallerAnswer &answer) { this->answers.push_back(answer); });
    }
    bool endedOnce(Refusal refusal, Execution execution) const
    {
        return this->answers.size() == 1 && this->answers[0].refusal == refusal
            && this->answers[0].execution == execution;
    }
    GroupId lastGroup() const
    {
        return this->router.submitted.back().first.groups.front();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(SingleRequestTest, Fixture)

// Guards against a second run of work whose first run may have happened, and against a "not run" for it.
BOOST_AUTO_TEST_CASE(unknownOutcomeIsNotTriedElsewhere)
{
    for (const Refusal reason : { Refusal::EndpointUnavailable, Refusal::QueueFull, Refusal::ConnectionLost }) {
        for (const bool idempotent : { false, true }) {
            this->answers.clear();
            this->router.submitted.clear();
            this->start(idempotent);
            BOOST_TEST(this->router.submitted.back().first.idempotent == idempotent);
            this->router.end(AttemptOutcome::Unknown, reason);
            BOOST_TEST(this->router.submitted.size() == 1U);
            BOOST_TEST(this->endedOnce(idempotent ? reason : Refusal::OutcomeUnknown, Execution::Unknown));
        }
    }
}

// Guards against a request that goes round all groups of a pool that refuses, or that returns to a refusing group.
BOOST_AUTO_TEST_CASE(notRunIsTriedAtThreeGroupsAtMost)
{
    this->start(false);
    std::set<GroupId> seen;
    for (std::size_t count = 1; count <= SingleRequest::maxGroups; ++count) {
        BOOST_REQUIRE(this->router.submitted.size() == count);
        BOOST_TEST(this->answers.empty());
        BOOST_TEST(seen.insert(this->lastGroup()).second);
        this->clock.advanceWithoutTimers(100ms);
        this->router.end(AttemptOutcome::NotRun, Refusal::QueueFull);
    }
    BOOST_TEST((this->router.submitted.back().first.remaining == Duration(800ms)));
    BOOST_TEST(this->router.submitted.size() == SingleRequest::maxGroups);
    BOOST_TEST(this->endedOnce(Refusal::QueueFull, Execution::NotRun));
    BOOST_TEST(this->answers[0].trace.size() == SingleRequest::maxGroups);
}

// Guards against a retry after an unknown outcome that follows a refusal, and against the loss of a later result.
BOOST_AUTO_TEST_CASE(laterGroupDecides)
{
    this->start(false);
    this->router.end(AttemptOutcome::NotRun, Refusal::EndpointShed);
    this->router.end(AttemptOutcome::Unknown, Refusal::ConnectionLost);
    BOOST_TEST(this->router.submitted.size() == 2U);
    BOOST_TEST(this->endedOnce(Refusal::OutcomeUnknown, Execution::Unknown));
    this->answers.clear();
    this->start(false);
    this->router.end(AttemptOutcome::NotRun, Refusal::EndpointShed);
    this->router.end(AttemptOutcome::Answered, Refusal::None, "body");
    BOOST_TEST(this->endedOnce(Refusal::None, Execution::Ran));
    BOOST_REQUIRE(this->answers[0].results.size() == 1U);
    BOOST_TEST(this->answers[0].results[0].body == "body");
}

// Guards against tries in groups that do not exist, after the deadline, or for refusals that every group shares.
BOOST_AUTO_TEST_CASE(stopsWithoutGroupsOrTime)
{
    this->start(true, 1);
    this->router.end(AttemptOutcome::NotRun, Refusal::QueueFull);
    BOOST_TEST(this->endedOnce(Refusal::QueueFull, Execution::NotRun));
    this->answers.clear();
    this->start(true);
    this->clock.advanceWithoutTimers(1s);
    this->router.end(AttemptOutcome::NotRun, Refusal::QueueFull);
    BOOST_TEST(this->endedOnce(Refusal::QueueFull, Execution::NotRun));
    this->answers.clear();
    this->start(true);
    this->router.end(AttemptOutcome::NotRun, Refusal::DeadlineExceeded);
    BOOST_TEST(this->endedOnce(Refusal::DeadlineExceeded, Execution::NotRun));
    BOOST_TEST(this->router.submitted.size() == 3U);
}

// Guards against requests with one routing key that reach different groups.
BOOST_AUTO_TEST_CASE(routingKeyPicksTheSameGroup)
{
    this->start(true, 5, "pupil-1");
    const GroupId group = this->lastGroup();
    for (int count = 0; count < 10; ++count) {
        this->start(true, 5, "pupil-1");
        BOOST_TEST(this->lastGroup() == group);
    }
}

BOOST_AUTO_TEST_SUITE_END()
