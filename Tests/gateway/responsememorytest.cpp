#include "gateway/responsememory.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ResponseMemoryTest)

namespace
{

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

}

// Guards against memory that grows with the number of endpoints that send large bodies at the same time, and against
// small responses that fail meanwhile.
BOOST_AUTO_TEST_CASE(boundsAllResponsesTogether)
{
    ResponseMemory memory;
    int accepted = 0;
    while (accepted < 100 && memory.update(0, 3 * mebibyte)) {
        ++accepted;
    }
    BOOST_TEST(accepted == 10);
    BOOST_TEST(memory.update(0, 10'000));
}

// Guards against memory that is not available again after responses have ended.
BOOST_AUTO_TEST_CASE(endedResponsesReleaseMemory)
{
    ResponseMemory memory;
    for (int count = 0; count < 100; ++count) {
        BOOST_TEST(memory.update(0, mebibyte));
        BOOST_TEST(memory.update(mebibyte, 3 * mebibyte));
        BOOST_TEST(memory.update(3 * mebibyte, 0));
    }
}

// Guards against a single response that takes all memory.
BOOST_AUTO_TEST_CASE(boundsEachResponse)
{
    ResponseMemory memory;
    BOOST_TEST(memory.update(0, ResponseMemory::maxResponseBytes));
    BOOST_TEST(!memory.update(ResponseMemory::maxResponseBytes, ResponseMemory::maxResponseBytes + 1));
}

BOOST_AUTO_TEST_SUITE_END()

}
