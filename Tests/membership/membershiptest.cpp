#include "core/manualclock.h"
#include "membership/panel.h"
#include "membership/peertable.h"
#include "membership/rendezvoushash.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> ids;
    for (int index = 0; index < count; ++index) {
        ids.emplace_back("instance-" + std::to_string(index));
    }
    return ids;
}

std::shared_ptr<const InstanceList> listOf(const std::vector<InstanceId> &ids)
{
    std::vector<ListedInstance> entries;
    for (const InstanceId &id : ids) {
        entries.push_back({ id, ZoneId("z"), id.value() + ":1", id.value() + ":2", ListedState::Live });
    }
    return std::make_shared<const InstanceList>(std::move(entries));
}

Gossip readyGossip(const std::string &incarnation, std::vector<ResourceId> held)
{
    Gossip said;
    said.state = InstanceState::Ready;
    said.incarnation = Incarnation(incarnation);
    said.listVersion = ValueVersion(1);
    said.held = std::move(held);
    return said;
}

struct Table
{
    Table()
        : peers(this->clock, InstanceId("instance-0"))
    {
        this->peers.setList(listOf(instances(3)), ValueVersion(1));
    }
    ManualClock clock;
    PeerTable peers;
};

const InstanceId one("instance-1");
const InstanceId two("instance-2");
const ResourceId resource("group/p/1");

}

BOOST_AUTO_TEST_SUITE(MembershipTest)

// Guards against a hash that differs between builds: instances of two builds would see different panels.
BOOST_AUTO_TEST_CASE(hashIsFixed)
{
    BOOST_TEST(RendezvousHash::weight("", "") == 0xb9034ad37056f5fbULL);
    BOOST_TEST(RendezvousHash::weight("group/p/1", "instance-1") == 0x24b8f5d7d9a3961fULL);
}

// Guards against uneven ownership, and against a removed instance that moves resources of others.
BOOST_AUTO_TEST_CASE(ranksSpreadEvenlyAndMoveLittle)
{
    const auto eight = instances(8);
    const auto seven = instances(7);
    std::map<InstanceId, int> owned;
    constexpr int resources = 8000;
    for (int index = 0; index < resources; ++index) {
        const std::string key = "group/p/" + std::to_string(index);
        const auto ranked = RendezvousHash::rank(key, eight);
        ++owned[ranked.front()];
        const auto fewer = RendezvousHash::rank(key, seven);
        auto expected = ranked;
        expected.erase(std::find(expected.begin(), expected.end(), eight.back()));
        BOOST_TEST_REQUIRE((fewer == expected));
    }
    for (const auto &[id, count] : owned) {
        BOOST_TEST(std::abs(count - resources / 8) < resources / 80);
    }
}

// Guards against quorums of two panels that differ by one member and do not meet.
BOOST_AUTO_TEST_CASE(quorumsOfPanelsThatDifferByOneMeet)
{
    const std::vector<std::size_t> expected { 1, 1, 2, 2, 3, 4, 4, 5, 5, 5 };
    for (std::size_t count = 0; count < expected.size(); ++count) {
        const Panel panel = Panel::of(resource, *listOf(instances(static_cast<int>(count))));
        BOOST_TEST(panel.members().size() == std::min(count, Panel::size));
        BOOST_TEST(panel.quorum() == expected[count]);
        if (count >= 4) {
            BOOST_TEST(2 * panel.quorum() > panel.members().size() + 1);
        }
    }
}

// Guards against peers that stay alive without traffic.
BOOST_AUTO_TEST_CASE(healthFollowsTraffic)
{
    Table table;
    BOOST_TEST((table.peers.health(InstanceId("stranger")) == PeerHealth::Unknown));
    BOOST_TEST((table.peers.health(one) == PeerHealth::Unknown));
    table.peers.heard(one);
    table.clock.advance(1499ms);
    BOOST_TEST((table.peers.health(one) == PeerHealth::Alive));
    table.clock.advance(1ms);
    BOOST_TEST((table.peers.health(one) == PeerHealth::Suspect));
    table.clock.advance(1500ms);
    BOOST_TEST((table.peers.health(one) == PeerHealth::Dead));
    BOOST_TEST((table.peers.health(two) == PeerHealth::Dead));
    table.peers.heard(one);
    table.peers.linkLost(one);
    BOOST_TEST((table.peers.health(one) == PeerHealth::Suspect));
    Gossip leaving = readyGossip("1", {});
    leaving.state = InstanceState::Leaving;
    table.peers.gossip(one, leaving);
    BOOST_TEST((table.peers.health(one) == PeerHealth::Leaving));
}

// Guards against callers or work sent to instances that are not ready, gone, or whose lease is outdated news.
BOOST_AUTO_TEST_CASE(gossipIsReplacedByNewerNews)
{
    Table table;
    table.peers.setSelf(InstanceState::Ready);
    table.peers.heard(one);
    BOOST_TEST(table.peers.ready().size() == 1U);
    table.peers.gossip(one, readyGossip("1", { resource }));
    BOOST_TEST(table.peers.ready().size() == 2U);
    BOOST_TEST((table.peers.announcedHolder(resource) == one));
    table.peers.gossip(one, readyGossip("2", {}));
    BOOST_TEST(!table.peers.announcedHolder(resource));
    table.peers.gossip(one, readyGossip("2", { resource }));
    table.clock.advance(1ms);
    table.peers.gossip(two, readyGossip("1", { resource }));
    BOOST_TEST((table.peers.announcedHolder(resource) == two));
    table.peers.linkLost(two);
    BOOST_TEST(!table.peers.announcedHolder(resource));
    table.peers.setList(listOf(instances(2)), ValueVersion(2));
    BOOST_TEST(table.peers.peers().size() == 1U);
    BOOST_TEST(!table.peers.mayOwn(one));
    BOOST_TEST(table.peers.ready().size() == 2U);
}

// Guards against an instance that counts as ready after it has said that it leaves, because an earlier message arrives
// late: its resources would have no owner until its next message.
BOOST_AUTO_TEST_CASE(leavingIsFinalForAProcess)
{
    Table table;
    Gossip leaving = readyGossip("a", {});
    leaving.state = InstanceState::Leaving;
    table.peers.gossip(one, leaving);
    table.peers.gossip(one, readyGossip("a", { resource }));
    BOOST_TEST((table.peers.health(one) == PeerHealth::Leaving));
    BOOST_TEST(!table.peers.mayOwn(one));
    table.peers.gossip(one, readyGossip("b", {}));
    BOOST_TEST(table.peers.mayOwn(one));
}

BOOST_AUTO_TEST_CASE(newestVersionAndItsPeer)
{
    Table table;
    BOOST_TEST((table.peers.newest(ValueName::Catalogue).first == ValueVersion()));
    Gossip said = readyGossip("1", {});
    said.listVersion = ValueVersion(5);
    table.peers.gossip(two, said);
    BOOST_TEST((table.peers.newest(ValueName::Instances) == std::make_pair(ValueVersion(5), two)));
    BOOST_TEST(table.peers.listIsStale());
}

BOOST_AUTO_TEST_SUITE_END()
