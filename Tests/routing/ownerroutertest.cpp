#include "routing/ownerrouter.h"
#include "core/manualclock.h"
#include "core/random.h"
#include "routing/fakes.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

const InstanceId a("a");
const InstanceId b("b");
const InstanceId c("c");
const PoolId pool("p");
const GroupId g("g");

struct Fixture
{
    ManualClock clock;
    Counters counters;
    FakeTransport transport;
    FakeDirectory directory;
    FakeGroups groups;
    OwnerRouter router { InstanceId("self"), clock, clock, transport, directory, groups, counters };
    std::vector<PartOutcome> ended;
    bool overtaken = false;

    Fixture()
    {
        this->own(g, a);
    }
    void own(const GroupId &group, const InstanceId &holder)
    {
        this->directory.holders[groupResource(pool, group)] = holder;
    }
    std::uint64_t submit(bool idempotent, Duration remaining = 1s)
    {
        PartRequest request;
        request.pool = pool;
        request.groups = { g };
        request.idempotent = idempotent;
        request.remaining = remaining;
        return this->router.submit(request, [this](const PartOutcome &outcome) { this->ended.push_back(outcome); });
    }
    std::vector<std::pair<InstanceId, SubRequest>> requests() const
    {
        return this->transport.all<SubRequest>();
    }
    /// Answers the request that was sent last, as its receiver.
    void answer(AttemptOutcome outcome, Refusal reason, const InstanceId &holder = InstanceId())
    {
        const auto [peer, request] = this->requests().back();
        SubAnswer message;
        message.id = request.id;
        message.part = g;
        message.outcome = outcome;
        message.reason = reason;
        message.holder = holder;
        this->router.handle(peer, message);
    }
    bool endedOnce(AttemptOutcome outcome, Refusal reason) const
    {
        return this->ended.size() == 1 && this->ended[0].outcome == outcome && this->ended[0].reason == reason
            && this->router.pending() == 0;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(OwnerRouterTest, Fixture)

// Guards against a second run of work that must not be repeated after its frame was handed to a link that broke.
BOOST_AUTO_TEST_CASE(lostLinkEndsNonIdempotentPartAsUnknown)
{
    this->submit(false);
    this->own(g, b);
    this->router.peerLost(a);
    BOOST_TEST(this->endedOnce(AttemptOutcome::Unknown, Refusal::ConnectionLost));
    this->clock.advance(2s);
    BOOST_TEST(this->requests().size() == 1U);
    BOOST_TEST(this->ended.size() == 1U);
}

// Guards against a second run when the owner is silent and another instance took its groups.
BOOST_AUTO_TEST_CASE(silentOwnerKeepsNonIdempotentPart)
{
    this->submit(false);
    this->own(g, b);
    this->directory.silent.insert(a);
    this->clock.advance(990ms);
    BOOST_TEST(this->requests().size() == 1U);
    BOOST_TEST(this->ended.empty());
    this->clock.advance(20ms);
    BOOST_TEST(this->endedOnce(AttemptOutcome::Unknown, Refusal::DeadlineExceeded));
    BOOST_TEST(this->requests().size() == 1U);
}

// Guards against a retry on any answer but "not run", whatever reason the answer gives.
BOOST_AUTO_TEST_CASE(onlyNotRunIsSentAgain)
{
    for (const Refusal reason : { Refusal::NotOwner,
                                  Refusal::NoOwner,
                                  Refusal::StaleConfiguration,
                                  Refusal::PeerUnreachable,
                                  Refusal::ConnectionLost }) {
        this->ended.clear();
        this->transport.sent.clear();
        this->submit(false);
        this->own(g, b);
        this->answer(AttemptOutcome::Unknown, reason, b);
        BOOST_TEST(this->endedOnce(AttemptOutcome::Unknown, reason));
        this->clock.advance(100ms);
        BOOST_TEST(this->requests().size() == 1U);
    }
    this->transport.sent.clear();
    this->ended.clear();
    this->submit(false);
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner);
    this->clock.advance(OwnerRouter::retryDelay);
    BOOST_TEST(this->requests().size() == 2U);
    this->answer(AttemptOutcome::Answered, Refusal::None);
    BOOST_TEST(this->endedOnce(AttemptOutcome::Answered, Refusal::None));
}

// Guards against a "not run" for a part that a lost owner may have run: the caller would repeat it.
BOOST_AUTO_TEST_CASE(lostOwnerRulesOutNotRun)
{
    this->submit(true);
    this->router.peerLost(a);
    this->own(g, b);
    this->clock.advance(OwnerRouter::retryDelay);
    BOOST_REQUIRE(this->requests().size() == 2U);
    BOOST_TEST(this->requests().back().first == b);
    this->answer(AttemptOutcome::NotRun, Refusal::QueueFull);
    BOOST_TEST(this->endedOnce(AttemptOutcome::Unknown, Refusal::QueueFull));
}

// The same when the deadline comes while the part waits for a new owner, also after a refusal by a later owner.
BOOST_AUTO_TEST_CASE(lostOwnerRulesOutNotRunAtDeadline)
{
    this->submit(true);
    this->router.peerLost(a);
    this->clock.advance(OwnerRouter::retryDelay);
    BOOST_REQUIRE(this->requests().size() == 2U);
    this->directory.holders.clear();
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner);
    this->clock.advance(1s);
    BOOST_TEST(this->endedOnce(AttemptOutcome::Unknown, Refusal::DeadlineExceeded));
}

// The same for an owner that is silent while another instance has the group; the late answer must not count.
BOOST_AUTO_TEST_CASE(silentOwnerRulesOutNotRun)
{
    this->submit(true);
    const SubRequest first = this->requests().back().second;
    this->own(g, b);
    this->directory.silent.insert(a);
    this->clock.advance(OwnerRouter::tick);
    BOOST_REQUIRE(this->requests().size() == 2U);
    BOOST_TEST(this->requests().back().first == b);
    BOOST_TEST(this->transport.all<SubCancel>().size() == 1U);
    SubAnswer late;
    late.id = first.id;
    late.part = g;
    late.outcome = AttemptOutcome::Answered;
    this->router.handle(a, late);
    BOOST_TEST(this->ended.empty());
    this->answer(AttemptOutcome::NotRun, Refusal::QueueFull);
    BOOST_TEST(this->endedOnce(AttemptOutcome::Unknown, Refusal::QueueFull));
}

// Guards against a wait for each named holder, and against two instances that name each other without end.
BOOST_AUTO_TEST_CASE(namedHolderIsFollowedAtOnce)
{
    this->submit(false);
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner, b);
    BOOST_REQUIRE(this->requests().size() == 2U);
    BOOST_TEST(this->requests().back().first == b);
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner, c);
    BOOST_REQUIRE(this->requests().size() == 3U);
    BOOST_TEST(this->requests().back().first == c);
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner, b);
    BOOST_TEST(this->requests().size() == 3U);
    this->clock.advance(OwnerRouter::retryDelay);
    BOOST_TEST(this->requests().size() == 4U);
    BOOST_TEST(this->requests().back().first == a);
}

// Guards against a busy loop with an owner that refuses and names nobody, or itself.
BOOST_AUTO_TEST_CASE(withoutNamedHolderThePartWaits)
{
    this->submit(false);
    for (const InstanceId &named : { InstanceId(), a }) {
        const std::size_t before = this->requests().size();
        this->answer(AttemptOutcome::NotRun, Refusal::NotOwner, named);
        this->clock.advance(OwnerRouter::retryDelay - 1ms);
        BOOST_TEST(this->requests().size() == before);
        this->clock.advance(OwnerRouter::tick);
        BOOST_TEST(this->requests().size() == before + 1);
    }
}

// Guards against work that starts after its caller has given up: the process may be paused before the answer is read.
BOOST_AUTO_TEST_CASE(namedHolderIsNotFollowedAfterTheDeadline)
{
    this->submit(false, 100ms);
    this->clock.advanceWithoutTimers(100ms);
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner, b);
    BOOST_TEST(this->requests().size() == 1U);
    BOOST_TEST(this->endedOnce(AttemptOutcome::NotRun, Refusal::NotOwner));
    this->clock.advance(1s);
    BOOST_TEST(this->requests().size() == 1U);
    BOOST_TEST(this->ended.size() == 1U);
}

// Guards against work that runs on for nobody because the cancel came before its task had a number.
BOOST_AUTO_TEST_CASE(cancelWhileTheTaskIsGivenOut)
{
    this->own(g, InstanceId("self"));
    this->groups.afterSubmit = [this] {
        this->router.cancel(1);
    };
    this->submit(true);
    BOOST_TEST(this->router.pending() == 0U);
    BOOST_REQUIRE(!this->groups.cancelled.empty());
    BOOST_TEST(this->groups.cancelled.back() == TaskId(1));
}

// Guards against the same at a peer: a cancel that overtakes its request finds nothing to cancel there.
BOOST_AUTO_TEST_CASE(cancelWhileTheFrameIsSent)
{
    this->transport.afterSend = [this] {
        this->router.cancel(1);
        this->transport.sent.clear();
        this->overtaken = true;
    };
    this->submit(true);
    BOOST_TEST(this->overtaken);
    const auto cancels = this->transport.all<SubCancel>();
    BOOST_REQUIRE(cancels.size() == 1U);
    BOOST_TEST(cancels[0].first == a);
    BOOST_TEST((cancels[0].second.parts == std::vector<GroupId> { g }));
}

// Guards against cancels that are lost or sent to an owner that no longer has the part.
BOOST_AUTO_TEST_CASE(cancelReachesThePresentOwnerOnly)
{
    const std::uint64_t id = this->submit(true);
    this->answer(AttemptOutcome::NotRun, Refusal::NotOwner, b);
    this->router.cancel(id);
    const auto cancels = this->transport.all<SubCancel>();
    BOOST_REQUIRE(cancels.size() == 1U);
    BOOST_TEST(cancels[0].first == b);
    BOOST_TEST(cancels[0].second.id == this->requests().back().second.id);
    this->answer(AttemptOutcome::Answered, Refusal::None);
    this->clock.advance(2s);
    BOOST_TEST(this->ended.empty());
    BOOST_TEST(this->router.pending() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
