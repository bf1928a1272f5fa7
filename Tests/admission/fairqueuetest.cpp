#include "admission/fairqueue.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FairQueueTest)

namespace
{

QueueEntry
entry(std::uint64_t id, const char *organisation, WorkClass workClass = WorkClass::Interactive, Duration deadline = 1s)
{
    return QueueEntry { id, OrganisationId(organisation), workClass, TimePoint(deadline) };
}

std::vector<std::uint64_t> drain(FairQueue &queue)
{
    std::vector<std::uint64_t> order;
    while (const auto next = queue.take([](const QueueEntry &) { return true; })) {
        order.push_back(next->id);
    }
    return order;
}

const auto perElement = boost::test_tools::per_element();

}

// Guards against an organisation that is served in proportion to what it sends, and against a lower class that
// overtakes.
BOOST_AUTO_TEST_CASE(classesAreStrictAndOrganisationsTakeTurns)
{
    FairQueue queue;
    queue.push(entry(1, "a", WorkClass::Archive));
    queue.push(entry(2, "a", WorkClass::Editing));
    for (std::uint64_t id = 10; id < 14; ++id) {
        queue.push(entry(id, "a"));
    }
    queue.push(entry(20, "b"));
    queue.push(entry(30, "c"));
    queue.push(entry(21, "b"));
    queue.pushFront(entry(9, "a"));
    BOOST_TEST(drain(queue) == (std::vector<std::uint64_t> { 9, 20, 30, 10, 21, 11, 12, 13, 2, 1 }), perElement);
    BOOST_TEST(queue.empty());
}

// Guards against a full queue that keeps out whoever comes after the organisation which filled it.
BOOST_AUTO_TEST_CASE(fullQueueDropsFromTheLongestLineOfTheLowestClass)
{
    FairQueue queue(4);
    queue.push(entry(1, "a", WorkClass::Archive));
    queue.push(entry(2, "a"));
    queue.push(entry(3, "a"));
    queue.push(entry(4, "a"));
    BOOST_TEST((queue.push(entry(5, "b")) == 1U));
    BOOST_TEST((queue.push(entry(6, "b")) == 4U));
    BOOST_TEST((queue.push(entry(7, "b")) == 7U));
    BOOST_TEST((queue.push(entry(8, "c", WorkClass::Archive)) == 8U));
    BOOST_TEST(drain(queue) == (std::vector<std::uint64_t> { 2, 5, 3, 6 }), perElement);
}

// Guards against bookkeeping that goes apart between the lines and the deadlines.
BOOST_AUTO_TEST_CASE(entriesLeaveByDeadlineByNumberAndByReadiness)
{
    FairQueue queue;
    queue.push(entry(1, "a", WorkClass::Interactive, 300ms));
    queue.push(entry(2, "b", WorkClass::Archive, 100ms));
    queue.push(entry(3, "a", WorkClass::Interactive, 200ms));
    queue.push(entry(4, "b", WorkClass::Interactive, 400ms));
    BOOST_TEST((queue.earliestDeadline() == TimePoint(100ms)));
    BOOST_TEST(queue.takeDueBefore(TimePoint(250ms)).size() == 2U);
    BOOST_TEST(queue.remove(1));
    BOOST_TEST(!queue.remove(1));
    BOOST_TEST(!queue.take([](const QueueEntry &) { return false; }).has_value());
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.takeAll().size() == 1U);
    BOOST_TEST(!queue.earliestDeadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
