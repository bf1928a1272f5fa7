#include "routing/partserver.h"
#include "routing/fakes.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;

namespace
{

const InstanceId a("a");
const InstanceId b("b");
const PoolId pool("p");
const GroupId g("g");
const GroupId h("h");

struct Fixture
{
    Counters counters;
    FakeTransport transport;
    FakeDirectory directory;
    FakeGroups groups;
    PartServer server { InstanceId("self"), groups, transport, directory, counters };

    void request(const InstanceId &from, std::uint64_t id, const std::vector<GroupId> &parts, bool idempotent = true)
    {
        SubRequest message;
        message.id = id;
        message.pool = pool;
        message.parts = parts;
        message.idempotent = idempotent;
        message.remainingMs = 70;
        this->server.handle(from, message);
    }
    std::vector<std::pair<InstanceId, SubAnswer>> answers() const
    {
        return this->transport.all<SubAnswer>();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(PartServerTest, Fixture)

// Guards against answers that are lost, doubled or mixed up between the parts of a frame.
BOOST_AUTO_TEST_CASE(answersEachPartOnce)
{
    this->request(a, 1, { g, h }, false);
    BOOST_REQUIRE(this->groups.tasks.size() == 2U);
    BOOST_TEST(!this->groups.tasks.at(TaskId(1)).task.idempotent);
    BOOST_TEST((this->groups.tasks.at(TaskId(1)).task.remaining == Duration(Milliseconds(70))));
    this->groups.end(TaskId(2), AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(this->server.pending() == 1U);
    this->groups.end(TaskId(1), AttemptOutcome::Unknown, Refusal::ConnectionLost);
    BOOST_TEST(this->server.pending() == 0U);
    const auto sent = this->answers();
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0].first == a);
    BOOST_TEST(sent[0].second.part == h);
    BOOST_TEST((sent[0].second.outcome == AttemptOutcome::Answered));
    BOOST_TEST(sent[1].second.id == 1U);
    BOOST_TEST(sent[1].second.part == g);
    BOOST_TEST((sent[1].second.outcome == AttemptOutcome::Unknown));
    BOOST_TEST((sent[1].second.reason == Refusal::ConnectionLost));
}

// Guards against a second run when a frame comes twice; the same id from another peer is other work.
BOOST_AUTO_TEST_CASE(refusesRepeatedParts)
{
    this->request(a, 1, { g });
    this->request(a, 1, { g });
    this->request(a, 2, { g, g });
    this->request(b, 1, { g });
    BOOST_TEST(this->groups.tasks.size() == 3U);
    BOOST_TEST(this->counters.value("lycheewall_routing_repeated_parts_total") == 2U);
    BOOST_TEST(this->answers().empty());
    for (std::uint64_t task = 1; task <= 3; ++task) {
        this->groups.end(TaskId(task), AttemptOutcome::Answered, Refusal::None);
    }
    BOOST_TEST(this->answers().size() == 3U);
}

// Guards against an owner that names itself or nobody, which costs the sender a wait for each move of a group.
BOOST_AUTO_TEST_CASE(namesTheHolderWhenItIsNotTheOwner)
{
    this->groups.owning = false;
    this->directory.holders[groupResource(pool, g)] = b;
    this->directory.holders[groupResource(pool, h)] = InstanceId("self");
    this->request(a, 1, { g, h });
    BOOST_TEST(this->server.pending() == 0U);
    this->groups.owning = true;
    this->request(a, 2, { g });
    this->groups.end(TaskId(1), AttemptOutcome::NotRun, Refusal::NotOwner);
    const auto sent = this->answers();
    BOOST_REQUIRE(sent.size() == 3U);
    for (const auto &[peer, answer] : sent) {
        BOOST_TEST((answer.outcome == AttemptOutcome::NotRun));
        BOOST_TEST((answer.reason == Refusal::NotOwner));
        BOOST_TEST(answer.holder == (answer.part == g ? b : InstanceId()));
    }
}

// Guards against a cancel that hits other parts, other requests or the work of other peers.
BOOST_AUTO_TEST_CASE(cancelsNamedPartsOnly)
{
    this->request(a, 1, { g, h });
    this->request(b, 1, { g, h });
    this->server.handle(a, SubCancel { 1, { h } });
    BOOST_TEST((this->groups.cancelled == std::vector<TaskId> { TaskId(2) }));
    this->server.handle(a, SubCancel { 9, {} });
    BOOST_TEST(this->groups.cancelled.size() == 1U);
    this->server.handle(b, SubCancel { 1, {} });
    BOOST_TEST((this->groups.cancelled == std::vector<TaskId> { TaskId(2), TaskId(3), TaskId(4) }));
    this->groups.end(TaskId(2), AttemptOutcome::Unknown, Refusal::Cancelled);
    BOOST_TEST(this->answers().size() == 1U);
    BOOST_TEST(this->server.pending() == 3U);
}

// Guards against non-idempotent work that is cut off half way, and against giving up the work of peers that live.
BOOST_AUTO_TEST_CASE(lostPeerEndsItsIdempotentWorkOnly)
{
    this->request(a, 1, { g });
    this->request(a, 2, { g }, false);
    this->request(b, 1, { g });
    this->server.peerLost(a);
    BOOST_TEST((this->groups.cancelled == std::vector<TaskId> { TaskId(1) }));
    BOOST_TEST(this->server.pending() == 3U);
    this->transport.results[a] = SendResult::Unreachable;
    this->groups.end(TaskId(1), AttemptOutcome::Unknown, Refusal::Cancelled);
    this->groups.end(TaskId(2), AttemptOutcome::Answered, Refusal::None);
    this->groups.end(TaskId(3), AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(this->server.pending() == 0U);
    BOOST_TEST(this->answers().size() == 1U);
    BOOST_TEST(this->counters.value("lycheewall_routing_undeliverable_answers_total") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
