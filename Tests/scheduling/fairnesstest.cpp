#include "scheduling/bench.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FairnessTest)

namespace
{

constexpr int organisations = 8;
constexpr int excess = 5;
/// Six slots at 10 ms.
constexpr double capacity = 600;

struct Tally
{
    double offered = 0;
    double answered = 0;
    double lost() const
    {
        return 1 - this->answered / this->offered;
    }
};

/// Poisson arrivals at @p load of capacity; @p pick names organisation and class of each.
template<typename Pick> std::map<std::string, Tally> run(bool naive, double load, std::uint64_t seed, Pick pick)
{
    Bench bench(seed, naive, 1, 2, true);
    bench.transport.service = exponential(10ms, 0);
    std::map<std::string, Tally> tallies;
    for (int arrival = 0; arrival < 30000; ++arrival) {
        const double gap = -std::log(1 - bench.arrivals.uniformReal()) / (capacity * load);
        bench.clock.advance(Duration(static_cast<std::int64_t>(gap * 1e9)));
        GroupTask task = bench.task(500ms);
        const std::string key = pick(bench.arrivals, task);
        tallies[key].offered += 1;
        bench.schedulers[0]->submit(task, [&tallies, key](const GroupOutcome &outcome) {
            tallies[key].answered += outcome.outcome == AttemptOutcome::Answered ? 1 : 0;
        });
    }
    bench.clock.advance(1s);
    return tallies;
}

std::string pickOrganisation(Random &random, GroupTask &task)
{
    const std::uint64_t number = random.uniformInteger(organisations - 1 + excess);
    const bool bulk = number >= organisations - 1;
    task.organisation = OrganisationId(bulk ? "bulk" : "o" + std::to_string(number));
    return bulk ? "bulk" : "others";
}

std::string pickClass(Random &random, GroupTask &task)
{
    const std::uint64_t number = random.uniformInteger(3);
    task.workClass = static_cast<WorkClass>(number);
    return std::to_string(number);
}

}

// Guards against one organisation that takes the service away from the others.
BOOST_AUTO_TEST_CASE(oneOrganisationAtFiveTimesItsShareCostsTheOthersOnePercentAtMost)
{
    for (const std::uint64_t seed : { 51U, 52U }) {
        auto naive = run(true, 1.0, seed, pickOrganisation);
        auto current = run(false, 1.0, seed, pickOrganisation);
        BOOST_TEST_MESSAGE("load 1.0: others lose naive " << naive["others"].lost() * 100 << "%, current "
                                                          << current["others"].lost() * 100 << "%; bulk loses naive "
                                                          << naive["bulk"].lost() * 100 << "%, current "
                                                          << current["bulk"].lost() * 100 << "%");
        BOOST_TEST(naive["others"].lost() > 0.01);
        BOOST_TEST(current["others"].lost() <= 0.01);
    }
}

// Guards against archive work that delays interactive work under overload.
BOOST_AUTO_TEST_CASE(classesKeepTheirOrderUnderOverload)
{
    auto naive = run(true, 1.5, 53, pickClass);
    auto current = run(false, 1.5, 53, pickClass);
    BOOST_TEST_MESSAGE("load 1.5, lost interactive/editing/archive: naive "
                       << naive["0"].lost() << '/' << naive["1"].lost() << '/' << naive["2"].lost() << ", current "
                       << current["0"].lost() << '/' << current["1"].lost() << '/' << current["2"].lost());
    BOOST_TEST(naive["0"].lost() > 0.01);
    BOOST_TEST(current["0"].lost() <= 0.01);
    BOOST_TEST(current["1"].lost() < current["2"].lost());
}

BOOST_AUTO_TEST_SUITE_END()
