#include "lease/leasevoter.h"
#include "lease/fleet.h"
#include "lease/leaseholder.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

const ResourceId resource("group/p/1");
const InstanceId self("a");
const InstanceId first("b");
const InstanceId second("c");
constexpr std::uint64_t run = 1ULL << 32U;

struct Voting
{
    Voting()
        : voter({}, this->clock, this->counters, self)
    {
        this->voter.setList(listOf({ "a", "b", "c", "d" }), ValueVersion(2));
        this->clock.advance(1500ms);
    }
    bool grants(const InstanceId &from, std::uint64_t id, std::uint64_t version = 2)
    {
        return !this->voter.handle(from, LeaseRequest { id, { resource }, ValueVersion(version) }).granted.empty();
    }

    ManualClock clock;
    Counters counters;
    LeaseVoter voter;
};

}

BOOST_AUTO_TEST_SUITE(LeaseVoterTest)

// Guards against a restarted voter that forgets what its earlier run granted.
BOOST_AUTO_TEST_CASE(silentAfterStart)
{
    ManualClock clock;
    Counters counters;
    LeaseVoter voter({}, clock, counters, self);
    voter.setList(listOf({ "a", "b" }), ValueVersion(1));
    const LeaseRequest request { run, { resource }, ValueVersion(1) };
    clock.advance(1499ms);
    BOOST_TEST(voter.handle(first, request).granted.empty());
    clock.advance(1ms);
    BOOST_TEST(voter.handle(first, request).granted.size() == 1U);
}

// Guards against a new panel member that votes while the one that it replaced may be bound.
BOOST_AUTO_TEST_CASE(silentAfterJoiningThePanel)
{
    Voting voting;
    voting.voter.setList(listOf({ "b", "c", "d" }), ValueVersion(3));
    voting.clock.advance(1s);
    BOOST_TEST(!voting.grants(first, run, 3));
    voting.voter.setList(listOf({ "a", "b", "c", "d" }), ValueVersion(4));
    voting.clock.advance(1499ms);
    BOOST_TEST(!voting.grants(first, run, 4));
    voting.clock.advance(1ms);
    BOOST_TEST(voting.grants(first, run, 4));
}

// Guards against votes for requests made with an older list.
BOOST_AUTO_TEST_CASE(refusesOlderLists)
{
    Voting voting;
    BOOST_TEST(!voting.grants(first, run, 1));
    BOOST_TEST(voting.grants(first, run, 3));
}

// Guards against a second holder, which an earlier run of the holder is too.
BOOST_AUTO_TEST_CASE(oneHolderUntilExpiry)
{
    Voting voting;
    BOOST_TEST(voting.grants(first, run + 1));
    BOOST_TEST(voting.grants(first, run + 2));
    BOOST_TEST(!voting.grants(second, run + 1));
    BOOST_TEST(!voting.grants(first, 2 * run + 1));
    voting.clock.advance(1499ms);
    BOOST_TEST(!voting.grants(second, run + 2));
    voting.clock.advance(1ms);
    BOOST_TEST(voting.grants(second, run + 3));
}

// Guards against a late release that ends a newer grant, and against a late request that renews a released one.
BOOST_AUTO_TEST_CASE(releaseAndRequestsOutOfOrder)
{
    Voting voting;
    BOOST_TEST(voting.grants(first, run + 5));
    voting.voter.handle(first, LeaseRelease { run + 4, { resource } });
    voting.voter.handle(second, LeaseRelease { run + 9, { resource } });
    voting.voter.handle(first, LeaseRelease { 0, { resource } });
    BOOST_TEST(!voting.grants(second, run + 1));
    voting.voter.handle(first, LeaseRelease { run + 6, { resource } });
    BOOST_TEST(!voting.grants(first, run + 6));
    BOOST_TEST(voting.grants(second, run + 2));
}

// Guards against a late reply that counts from its arrival, and against replies to another run or from another peer.
BOOST_AUTO_TEST_CASE(grantsCountFromTheSendingOfTheRequest)
{
    ManualClock clock;
    LeaseHolder holder({}, clock, 7);
    holder.setList(listOf({ "a", "b", "c" }), ValueVersion(1));
    const auto sent = holder.requests({ resource });
    BOOST_REQUIRE(sent.size() == 3U);
    clock.advance(1s);
    const auto reply = [&](std::size_t index, const InstanceId &from, std::uint64_t offset) {
        const std::uint64_t id = std::get<LeaseRequest>(sent[index].message).id + offset;
        holder.reply(from, LeaseReply { id, { resource }, {}, ValueVersion(1), ValueVersion() });
    };
    reply(0, sent[0].peer, 0);
    reply(1, sent[2].peer, 0);
    reply(1, sent[1].peer, run);
    BOOST_TEST(holder.takeChanges().empty());
    reply(1, sent[1].peer, 0);
    const auto changes = holder.takeChanges();
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(!holder.holds(resource));
    BOOST_TEST(holder.activate(changes.front()));
    BOOST_TEST(holder.holds(resource));
    clock.advanceWithoutTimers(349ms);
    BOOST_TEST(holder.holds(resource));
    clock.advanceWithoutTimers(1ms);
    BOOST_TEST(!holder.holds(resource));
}

// Guards against a lapse that goes unnoticed because new grants arrive before anybody looked.
BOOST_AUTO_TEST_CASE(lapseBeforeRenewalIsReported)
{
    ManualClock clock;
    LeaseHolder holder({}, clock, 7);
    holder.setList(listOf({ "a" }), ValueVersion(1));
    const auto grant = [&] {
        const auto sent = holder.requests({ resource });
        const std::uint64_t id = std::get<LeaseRequest>(sent.front().message).id;
        holder.reply(self, LeaseReply { id, { resource }, {}, ValueVersion(1), ValueVersion() });
    };
    grant();
    BOOST_TEST(holder.activate(holder.takeChanges().front()));
    clock.advanceWithoutTimers(30s);
    grant();
    BOOST_TEST(!holder.holds(resource));
    const auto changes = holder.takeChanges();
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST((changes[0].kind == LeaseChange::Kind::Lost && changes[1].kind == LeaseChange::Kind::Gained));
}

BOOST_AUTO_TEST_SUITE_END()
