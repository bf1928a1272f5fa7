#include "forwarding/fixture.h"
#include "forwarding/shardrecords.h"
#include "forwarding/topmerge.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t totalLimit = 1024 * kibibyte;

/// Queries of two shards that may hold little memory, and whose replies contain all records.
struct WaitingQueryFixture : public ForwardingFixture
{
    WaitingQueryFixture()
    {
        this->responseMemory->setLimits({ totalLimit, totalLimit });
        this->route.maxRecords = totalLimit;
        this->route.maxAttempts = 1;
    }

    ~WaitingQueryFixture()
    {
        this->finishAllRequests();
    }

    /// Starts two queries and lets the first shard of each respond with @p bytes.
    void startTwoQueries(std::size_t bytes)
    {
        for (const std::size_t firstCall : { 0U, 2U }) {
            this->start();
            this->call(firstCall).finish(CallResult::Answered, 200, std::string(bytes, 'x'));
            this->clock.advance(Milliseconds(10));
        }
    }
};

}

BOOST_FIXTURE_TEST_SUITE(WaitingQueryTest, WaitingQueryFixture)

// Guards against responses of shards that are not counted while their query waits, or count after it has ended.
BOOST_AUTO_TEST_CASE(waitingResponsesCount)
{
    this->routeToShards(1);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, std::string(600 * kibibyte, 'x'));
    BOOST_TEST(this->responseMemory->totalBytes() >= 600 * kibibyte);
    this->call(1).finish(CallResult::Answered, 200, std::string(600 * kibibyte, 'y'));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->body.size() == 1200 * kibibyte);
    BOOST_TEST(this->responseMemory->totalBytes() == 0U);
}

// Guards against memory that is not released when the caller leaves.
BOOST_AUTO_TEST_CASE(cancelledQueryReleasesMemory)
{
    this->routeToShards(1);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, std::string(600 * kibibyte, 'x'));
    this->exchange->cancel();
    BOOST_TEST(this->responseMemory->totalBytes() == 0U);
}

// Guards against giving up all queries instead of the one that has waited longest, and against "not run" for a query
// whose shards have run.
BOOST_AUTO_TEST_CASE(givenUpQueryIsNotReportedAsNotRun)
{
    this->routeToShards(1);
    this->startTwoQueries(600 * kibibyte);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown));
    BOOST_TEST((this->replies[0].execution() != Execution::NotRun));
    BOOST_TEST(this->call(1).cancelled);
    this->call(3).finish(CallResult::Answered, 200, "");
    BOOST_REQUIRE(this->replies.size() == 2U);
    BOOST_TEST(this->replies[1].merged()->missingShards == 0U);
}

// Guards against the refusal of a query that has the required coverage.
BOOST_AUTO_TEST_CASE(givenUpQueryRepliesWithItsCoverage)
{
    this->routeToShards(0.5);
    this->startTwoQueries(600 * kibibyte);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_REQUIRE(this->replies[0].merged().has_value());
    BOOST_TEST(this->replies[0].merged()->missingShards == 1U);
    BOOST_TEST(this->replies[0].merged()->body.size() == 600 * kibibyte);
}

// Guards against giving up a query that can release nearly all of its memory without its reply losing a record.
BOOST_AUTO_TEST_CASE(queryForFewRecordsDropsSurplusFirst)
{
    this->responseMemory->setLimits({ totalLimit, 100 * kibibyte });
    this->route.maxRecords = 2;
    this->routeToShards(1);
    this->startTwoQueries(60 * kibibyte);
    BOOST_TEST(this->replies.empty());
    BOOST_TEST(this->responseMemory->totalBytes() < 61 * kibibyte);
    this->call(1).finish(CallResult::Answered, 200, std::string(recordBytes, 'z'));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->body == std::string(recordBytes, 'z') + std::string(recordBytes, 'x'));
}

// Guards against a query that is used after it has given up itself, and against memory that it does not release then.
BOOST_AUTO_TEST_CASE(queryBeyondTheLimitGivesUpItself)
{
    this->routeToShards(1);
    this->start();
    this->call(0).finish(CallResult::Answered, 200, std::string(totalLimit + recordBytes, 'x'));
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::OutcomeUnknown));
    BOOST_TEST(this->call(1).cancelled);
    BOOST_TEST(this->responseMemory->totalBytes() == 0U);
}

// Guards against a query for few records that holds all records of its shards, and against losing the greatest ones.
BOOST_AUTO_TEST_CASE(keepsFewRecords)
{
    ShardRecords records(2);
    records.add(std::string(recordBytes, 'z') + std::string(300 * kibibyte, 'a'));
    BOOST_TEST(records.bytes() <= kibibyte);
    records.add(std::string(recordBytes, 'y') + std::string(300 * kibibyte, 'b'));
    BOOST_TEST(records.bytes() <= kibibyte);
    BOOST_TEST(records.merged() == std::string(recordBytes, 'z') + std::string(recordBytes, 'y'));
}

BOOST_AUTO_TEST_SUITE_END()

}
