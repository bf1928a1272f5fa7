#include "routing/groupregistry.h"
#include "scheduling/fakeendpoints.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

const PoolId pool("search");
const GroupId s0("s0");
const ResourceId resource = groupResource(pool, s0);

/// A catalogue with one pool that has one group of one slot.
std::shared_ptr<const Catalogue> makeCatalogue(const std::string &group)
{
    const std::string text = R"(deployment: test
zones: [z1]
pools:
  search:
    owner: team
    class: interactive
    slots: 1
    connections: 25
    cold-slots: 1
    groups:
      )" + group
        + R"(:
        endpoints:
          - { id: e0, address: "127.0.0.1:1000", zone: z1 }
    snapshots:
      - version: 7
        documents: { )"
        + group + R"(: 1 }
organisations: {}
)";
    const auto parsed = Catalogue::parse(text, "test");
    BOOST_REQUIRE(parsed.has_value());
    return std::make_shared<const Catalogue>(parsed.value());
}

struct Fixture
{
    ManualClock clock;
    FakeEndpoints transport { clock, 1 };
    FakeOwnership ownership;
    Random random { 2 };
    RetryBudget budget;
    Counters counters;
    GroupRegistry registry { SchedulerContext { clock, clock, random, transport, ownership, budget, counters } };
    std::map<std::string, std::vector<GroupOutcome>> outcomes;

    Fixture()
    {
        this->registry.setCatalogue(makeCatalogue("s0"));
        this->transport.endpoints[EndpointId("e0")].slots = 1;
    }
    std::optional<TaskId> submit(const std::string &name)
    {
        GroupTask task;
        task.request = RequestId(name);
        task.snapshot = SnapshotVersion(7);
        task.idempotent = false;
        task.remaining = 1s;
        return this->registry.submit(
            pool, s0, task, [this, name](const GroupOutcome &outcome) { this->outcomes[name].push_back(outcome); });
    }
    bool endedOnce(const std::string &name, AttemptOutcome outcome, Refusal reason)
    {
        const auto &all = this->outcomes[name];
        return all.size() == 1 && all[0].outcome == outcome && all[0].reason == reason;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(GroupRegistryTest, Fixture)

// Guards against work that is taken before the lease, after it, or in a pause that outlasted it.
BOOST_AUTO_TEST_CASE(takesWorkOnlyUnderTheLease)
{
    BOOST_TEST(!this->submit("early").has_value());
    this->registry.gained(ResourceId("group/search/unknown"));
    this->registry.gained(resource);
    BOOST_TEST(this->registry.reports().size() == 1U);
    this->ownership.owned = false;
    BOOST_TEST(!this->submit("lapsed").has_value());
    this->ownership.owned = true;
    BOOST_TEST(this->submit("good").has_value());
    this->clock.advance(100ms);
    BOOST_TEST(this->endedOnce("good", AttemptOutcome::Answered, Refusal::None));
    this->registry.lost(resource);
    BOOST_TEST(!this->submit("late").has_value());
    BOOST_TEST(this->outcomes.size() == 1U);
}

// Guards against queued work that vanishes with the lease, and against connections that stay open beside the next
// owner's.
BOOST_AUTO_TEST_CASE(lostLeaseRefusesQueuedWorkAndClosesConnections)
{
    this->registry.gained(resource);
    this->submit("running");
    this->clock.advance(1ms);
    this->submit("queued");
    this->registry.lost(resource);
    this->clock.advance(1ms);
    BOOST_TEST(this->endedOnce("queued", AttemptOutcome::NotRun, Refusal::NotOwner));
    BOOST_TEST(this->transport.closed.empty());
    this->clock.advance(100ms);
    BOOST_TEST(this->endedOnce("running", AttemptOutcome::Answered, Refusal::None));
    BOOST_TEST((this->transport.closed == std::vector<EndpointId> { EndpointId("e0") }));
}

// Guards against a lease that is released while its work still runs.
BOOST_AUTO_TEST_CASE(handOverEndsAfterTheRunningWork)
{
    int done = 0;
    this->registry.handOver(resource, [&done] { ++done; });
    BOOST_TEST(done == 1);
    this->registry.gained(resource);
    this->submit("running");
    this->clock.advance(1ms);
    this->registry.handOver(resource, [&done] { ++done; });
    this->submit("refused");
    this->clock.advance(1ms);
    BOOST_TEST(done == 1);
    BOOST_TEST(this->endedOnce("refused", AttemptOutcome::NotRun, Refusal::NotOwner));
    this->clock.advance(100ms);
    BOOST_TEST(done == 2);
    BOOST_TEST(this->transport.closed.size() == 1U);
    this->registry.lost(resource);
    this->clock.advance(100ms);
    BOOST_TEST(done == 2);
}

// Guards against a cancel of work from an earlier ownership that hits new work with the same number.
BOOST_AUTO_TEST_CASE(cancelOfEarlierOwnershipHitsNothing)
{
    this->registry.gained(resource);
    const auto earlier = this->submit("earlier");
    this->clock.advance(1ms);
    this->registry.lost(resource);
    this->registry.gained(resource);
    const auto later = this->submit("later");
    BOOST_REQUIRE((earlier && later));
    BOOST_TEST(*earlier != *later);
    this->registry.cancel(pool, s0, *earlier);
    this->clock.advance(200ms);
    BOOST_TEST(this->endedOnce("later", AttemptOutcome::Answered, Refusal::None));
    const auto third = this->submit("third");
    this->registry.cancel(pool, s0, *third);
    this->clock.advance(200ms);
    BOOST_REQUIRE(this->outcomes["third"].size() == 1U);
    BOOST_TEST((this->outcomes["third"][0].reason == Refusal::Cancelled));
}

// Guards against a group that is dropped from the catalogue while its work waits.
BOOST_AUTO_TEST_CASE(droppedGroupEndsItsWork)
{
    this->registry.gained(resource);
    this->submit("running");
    this->submit("queued");
    this->registry.setCatalogue(makeCatalogue("s1"));
    this->clock.advance(100ms);
    BOOST_TEST(this->endedOnce("queued", AttemptOutcome::NotRun, Refusal::NotOwner));
    BOOST_TEST(this->endedOnce("running", AttemptOutcome::Answered, Refusal::None));
    BOOST_TEST(this->registry.reports().empty());
    BOOST_TEST((this->registry.resources() == std::vector<ResourceId> { groupResource(pool, GroupId("s1")) }));
}

BOOST_AUTO_TEST_SUITE_END()
