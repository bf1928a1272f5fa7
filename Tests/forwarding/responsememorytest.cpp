#include "forwarding/responsememory.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ResponseMemoryTest)

namespace
{

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;
constexpr std::size_t kibibyte = 1024;

class TestHolder : public ResponseMemory::Holder
{
public:
    explicit TestHolder(ResponseMemory &responseMemory,
                        ResponseMemory::Content content = ResponseMemory::Content::IncompleteResponse)
        : ResponseMemory::Holder(content)
        , memory(responseMemory)
    {
    }

    void giveUpResponse() override
    {
        this->isGivenUp = true;
        this->memory.update(*this, 0);
    }

    /// Returns false if the response was given up.
    bool update(std::size_t bytes)
    {
        this->memory.update(*this, bytes);
        return !this->isGivenUp;
    }

    bool isGivenUp = false;

private:
    ResponseMemory &memory;
};

}

// Guards against memory that grows with the number of endpoints that send large bodies at the same time, and against
// small responses that fail meanwhile.
BOOST_AUTO_TEST_CASE(boundsAllResponsesTogether)
{
    const ManualClock clock;
    ResponseMemory memory(clock);
    std::deque<TestHolder> holders;
    int accepted = 0;
    while (accepted < 100 && holders.emplace_back(memory).update(3 * mebibyte)) {
        ++accepted;
    }
    BOOST_TEST(accepted == 10);
    TestHolder small(memory);
    BOOST_TEST(small.update(10'000));
    BOOST_TEST(memory.totalBytes() <= ResponseMemory::maxTotalBytes);
}

// Guards against memory that grows with the number of endpoints that send without end when each response is still
// small, and against sound responses that fail because of them.
BOOST_AUTO_TEST_CASE(boundsManySmallResponses)
{
    const ManualClock clock;
    ResponseMemory memory(clock);
    std::deque<TestHolder> endless;
    for (int count = 0; count < 2000; ++count) {
        endless.emplace_back(memory);
    }
    TestHolder sound(memory);
    BOOST_TEST(sound.update(8 * kibibyte));
    for (std::size_t bytes = 4 * kibibyte; bytes <= 256 * kibibyte; bytes += 4 * kibibyte) {
        for (TestHolder &holder : endless) {
            if (!holder.isGivenUp) {
                holder.update(bytes);
            }
            BOOST_REQUIRE(memory.totalBytes() <= ResponseMemory::maxTotalBytes);
        }
    }
    BOOST_TEST(!sound.isGivenUp);
    BOOST_TEST(sound.update(12 * kibibyte));
}

// Guards against memory that is not available again after responses have ended.
BOOST_AUTO_TEST_CASE(endedResponsesReleaseMemory)
{
    const ManualClock clock;
    ResponseMemory memory(clock);
    TestHolder holder(memory);
    for (int count = 0; count < 100; ++count) {
        BOOST_TEST(holder.update(mebibyte));
        BOOST_TEST(holder.update(3 * mebibyte));
        BOOST_TEST(holder.update(0));
        BOOST_TEST(memory.totalBytes() == 0U);
    }
}

// Guards against a single response that takes all memory.
BOOST_AUTO_TEST_CASE(boundsEachResponse)
{
    const ManualClock clock;
    ResponseMemory memory(clock);
    TestHolder holder(memory);
    BOOST_TEST(holder.update(ResponseMemory::maxResponseBytes));
    BOOST_TEST(!holder.update(ResponseMemory::maxResponseBytes + 1));
}

// Guards against complete responses that are not bounded while their queries wait, and against giving up a query that
// has just begun, or a small response, for an older large one.
BOOST_AUTO_TEST_CASE(givesUpOldestLargeQuery)
{
    ManualClock clock;
    ResponseMemory memory(clock);
    memory.setLimits({ 4 * mebibyte, 10 * mebibyte });
    TestHolder small(memory);
    TestHolder oldest(memory, ResponseMemory::Content::CompleteResponses);
    BOOST_TEST(small.update(kibibyte));
    BOOST_TEST(oldest.update(4 * mebibyte));
    clock.advance(Milliseconds(100));
    TestHolder newest(memory, ResponseMemory::Content::CompleteResponses);
    BOOST_TEST(newest.update(5 * mebibyte));
    clock.advance(Milliseconds(10));
    BOOST_TEST(newest.update(6 * mebibyte));
    BOOST_TEST(oldest.isGivenUp);
    BOOST_TEST(!small.isGivenUp);
    BOOST_TEST(memory.totalBytes() == 6 * mebibyte + kibibyte);
}

// Guards against a query that is given up because its responses together are larger than one response may be.
BOOST_AUTO_TEST_CASE(singleQueryMayHoldAllMemory)
{
    const ManualClock clock;
    ResponseMemory memory(clock);
    memory.setLimits({ 4 * mebibyte, 10 * mebibyte });
    TestHolder query(memory, ResponseMemory::Content::CompleteResponses);
    BOOST_TEST(query.update(10 * mebibyte));
    BOOST_TEST(!query.update(10 * mebibyte + 1));
    BOOST_TEST(memory.totalBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
