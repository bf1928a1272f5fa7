#include "routing/groupchooser.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;

namespace
{

struct Fixture
{
    Random random { 1 };
    GroupChooser chooser { random };
    Pool pool;

    Fixture()
    {
        this->pool.id = PoolId("p");
        for (int index = 0; index < 5; ++index) {
            this->pool.groups.push_back(Group { GroupId("g" + std::to_string(index)), {} });
        }
    }
};

}

BOOST_FIXTURE_TEST_SUITE(GroupChooserTest, Fixture)

// Guards against keys that move although their group stays, and against keys that all fall to one group.
BOOST_AUTO_TEST_CASE(keyKeepsItsGroupWhenOthersGo)
{
    constexpr int keys = 500;
    std::map<GroupId, int> counts;
    Pool smaller = this->pool;
    const GroupId removed = smaller.groups.back().id;
    smaller.groups.pop_back();
    for (int index = 0; index < keys; ++index) {
        const std::string key = "pupil-" + std::to_string(index);
        const GroupId group = this->chooser.choose(this->pool, key, {}).value();
        ++counts[group];
        this->chooser.started(this->pool.id, group);
        BOOST_TEST(this->chooser.choose(this->pool, key, {}).value() == group);
        if (group != removed) {
            BOOST_TEST(this->chooser.choose(smaller, key, {}).value() == group);
        }
        BOOST_TEST(this->chooser.choose(this->pool, key, { group }).value() != group);
    }
    BOOST_TEST(counts.size() == 5U);
    for (const auto &[group, count] : counts) {
        BOOST_TEST(count > keys / 10, group);
    }
}

// Guards against load that gathers at one group: the choice between two random groups has to use the counts.
BOOST_AUTO_TEST_CASE(prefersTheLessUsedOfTwo)
{
    std::map<GroupId, int> inFlight;
    for (int index = 0; index < 1000; ++index) {
        const GroupId group = this->chooser.choose(this->pool, std::nullopt, {}).value();
        this->chooser.started(this->pool.id, group);
        ++inFlight[group];
    }
    for (const auto &[group, count] : inFlight) {
        // Plain random choice deviates by 13 on average; two choices keep the counts within a few.
        BOOST_TEST(std::abs(count - 200) <= 5, group << " has " << count);
    }
    const GroupId freed("g3");
    for (; inFlight[freed] > 0; --inFlight[freed]) {
        this->chooser.finished(this->pool.id, freed);
    }
    int chosen = 0;
    for (int index = 0; index < 1000; ++index) {
        chosen += this->chooser.choose(this->pool, std::nullopt, {}).value() == freed ? 1 : 0;
    }
    // It is among two of five random groups in 36 % of the choices and wins each of them.
    BOOST_TEST(chosen > 300);
}

// Guards against a choice among groups that were tried, with and without a key.
BOOST_AUTO_TEST_CASE(neverReturnsToTriedGroups)
{
    for (const std::optional<std::string> &key :
         { std::optional<std::string>(), std::optional<std::string>("pupil-1") }) {
        std::set<GroupId> tried;
        for (std::size_t count = 0; count < this->pool.groups.size(); ++count) {
            const auto group = this->chooser.choose(this->pool, key, tried);
            BOOST_REQUIRE(group.has_value());
            BOOST_TEST(tried.insert(*group).second);
        }
        BOOST_TEST(!this->chooser.choose(this->pool, key, tried).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
