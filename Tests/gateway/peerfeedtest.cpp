#include "gateway/peerfeed.h"

#include "core/boottimeclock.h"
#include "gateway/testpeer.h"
#include "runtime/asiotimerservice.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(PeerFeedTest)

namespace
{

struct Fixture
{
    Fixture()
    {
        this->server = AuxiliaryServer::create(this->io,
                                               "127.0.0.1:0",
                                               [this](const std::string &target, AuxiliaryServer::Respond respond) {
                                                   this->feedServer.handle(target, std::move(respond));
                                               })
                           .value();
        this->feed = std::make_unique<PeerFeedSource>(this->io, "127.0.0.1:" + std::to_string(this->server->port()));
        this->freshness.confirm(this->clock.now());
    }

    Result<FeedBatch> watch(Revision after, Duration wait)
    {
        std::optional<Result<FeedBatch>> result;
        this->feed->watch(after, wait, [&result](const Result<FeedBatch> &batch) { result = batch; });
        BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
        return *result;
    }

    boost::asio::io_context io;
    BootTimeClock clock;
    AsioTimerService timers { io };
    FeedReplica replica;
    FeedFreshness freshness { clock };
    PeerFeedServer feedServer { clock, timers, replica, freshness };
    std::unique_ptr<AuxiliaryServer> server;
    std::unique_ptr<PeerFeedSource> feed;
};

}

// Guards against entries that change on their way to another instance.
BOOST_FIXTURE_TEST_CASE(listsAllEntries, Fixture)
{
    this->replica.replace({ { "a", std::string("\0\xff", 2), 3, false }, { "b", "2", 5, false } }, 9);
    std::optional<Result<FeedPage>> result;
    this->feed->list("", [&result](const Result<FeedPage> &page) { result = page; });
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    const FeedPage &page = result->value();
    BOOST_TEST(page.items.size() == 2U);
    BOOST_TEST((page.items.front().value == std::string("\0\xff", 2)));
    BOOST_TEST(page.revision == 9U);
    BOOST_TEST(!page.hasMore);
}

// Guards against a change that waits for the end of a watch.
BOOST_FIXTURE_TEST_CASE(changeEndsTheWatch, Fixture)
{
    this->replica.replace({}, 9);
    std::optional<Result<FeedBatch>> result;
    this->feed->watch(9, std::chrono::seconds(4), [&result](const Result<FeedBatch> &batch) { result = batch; });
    runFor(this->io, std::chrono::milliseconds(20));
    BOOST_TEST(!result.has_value());
    this->replica.apply({ { { "a", "1", 11, false } }, 12, {} });
    this->feedServer.advanced();
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    BOOST_TEST(result->value().events.at(0).key == "a");
    BOOST_TEST(result->value().revision == 12U);
}

// Guards against knowledge that grows old on its way through two instances: a confirmation is passed on at once.
BOOST_FIXTURE_TEST_CASE(confirmationEndsTheWatch, Fixture)
{
    this->replica.replace({}, 9);
    std::optional<Result<FeedBatch>> result;
    this->feed->watch(9, std::chrono::seconds(4), [&result](const Result<FeedBatch> &batch) { result = batch; });
    runFor(this->io, std::chrono::milliseconds(400));
    BOOST_TEST(!result.has_value());
    this->freshness.confirm(this->clock.now());
    this->feedServer.advanced();
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    BOOST_TEST(result->value().events.empty());
    // Counted from the question, which is older than the confirmation.
    BOOST_TEST((result->value().age < Milliseconds(-300)));
}

// Guards against freshness that nobody confirmed: the age of the other instance's knowledge comes with each answer.
BOOST_FIXTURE_TEST_CASE(answerStatesItsAge, Fixture)
{
    this->replica.replace({}, 9);
    runFor(this->io, std::chrono::milliseconds(30));
    const auto batch = this->watch(9, Milliseconds(20));
    BOOST_TEST(batch.value().events.empty());
    BOOST_TEST((batch.value().age >= Milliseconds(30)));
}

// Guards against changes that are lost because the other instance's history is too short, and against an instance that
// has read nothing yet.
BOOST_FIXTURE_TEST_CASE(refusesWhatItDoesNotKnow, Fixture)
{
    BOOST_TEST((this->watch(9, {}).error() == FeedError::Busy));
    this->replica.replace({}, 9);
    BOOST_TEST((this->watch(4, {}).error() == FeedError::HistoryCompacted));
}

// Guards against a reader that waits for a dead instance.
BOOST_FIXTURE_TEST_CASE(deadInstanceIsAnError, Fixture)
{
    this->server.reset();
    this->feed = std::make_unique<PeerFeedSource>(this->io, "127.0.0.1:1");
    BOOST_TEST((this->watch(9, {}).error() == FeedError::Unreachable));
}

BOOST_AUTO_TEST_SUITE_END()

}
