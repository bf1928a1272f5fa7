#include "gateway/peerfeed.h"

#include "core/boottimeclock.h"
#include "gateway/rawhttpserver.h"
#include "runtime/asiotimerservice.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(PeerFeedTest)

namespace
{

constexpr std::size_t machineBytes = std::size_t { 256 } * 1024 * 1024;
constexpr std::size_t machineDescriptors = 4096;

struct Fixture
{
    Fixture()
    {
        this->server = AuxiliaryServer::create(this->io,
                                               "127.0.0.1:0",
                                               this->budget,
                                               [this](const std::string &target, AuxiliaryServer::Respond respond) {
                                                   this->feedServer.handle(target, std::move(respond));
                                               })
                           .value();
        this->feed = std::make_unique<PeerFeedSource>(this->io, "127.0.0.1:" + std::to_string(this->server->port()));
        this->freshness.confirm(this->clock.now());
    }

    Result<FeedBatch> watch(FeedPosition after, Duration wait)
    {
        std::optional<Result<FeedBatch>> result;
        this->feed->watch(after, wait, [&result](const Result<FeedBatch> &batch) { result = batch; });
        BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
        return *result;
    }

    boost::asio::io_context io;
    BootTimeClock clock;
    AsioTimerService timers { io };
    Counters counters;
    std::shared_ptr<ConnectionBudget> budget = std::make_shared<ConnectionBudget>(
        clock, counters, ConnectionLimits::ofMachine(machineBytes, machineDescriptors));
    FeedReplica replica;
    FeedFreshness freshness { clock };
    PeerFeedServer feedServer { clock, timers, replica, freshness };
    std::unique_ptr<AuxiliaryServer> server;
    std::unique_ptr<PeerFeedSource> feed;
};

}

// Guards against entries that are changed by the transfer to another instance, such as binary values.
BOOST_FIXTURE_TEST_CASE(listsAllEntries, Fixture)
{
    this->replica.replace({ { "a", std::string("\0\xff", 2), 3, false }, { "b", "2", 5, false } }, { {}, 9 });
    std::optional<Result<FeedPage>> result;
    this->feed->list("", [&result](const Result<FeedPage> &page) { result = page; });
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    const FeedPage &page = result->value();
    BOOST_TEST(page.items.size() == 2U);
    BOOST_TEST((page.items.front().value == std::string("\0\xff", 2)));
    BOOST_TEST(page.position.revision == 9U);
    BOOST_TEST(!page.hasMore);
}

// Guards against a response with all entries, which a slow link cannot transfer within the timeout, and against keys
// that change on their way through the request target.
BOOST_FIXTURE_TEST_CASE(listsEntriesInLimitedPages, Fixture)
{
    std::vector<FeedEvent> entries;
    for (Revision revision = 1; revision <= 5; ++revision) {
        entries.push_back({ "key &?" + std::to_string(revision), std::string(100'000, 'v'), revision, false });
    }
    this->replica.replace(entries, { {}, 9 });
    std::vector<std::string> keys;
    bool hasMore = true;
    while (hasMore && keys.size() < 6) {
        std::optional<Result<FeedPage>> result;
        this->feed->list(keys.empty() ? "" : keys.back(), [&result](const Result<FeedPage> &page) { result = page; });
        BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
        BOOST_TEST(result->value().items.size() <= 2U);
        for (const FeedEvent &item : result->value().items) {
            keys.push_back(item.key);
        }
        hasMore = result->value().hasMore;
    }
    BOOST_TEST(keys.size() == 5U);
    BOOST_TEST(keys.back() == "key &?5");
}

// Guards against an instance that requests many changes at once, while it is behind, and does not receive the response.
BOOST_FIXTURE_TEST_CASE(watchResponseIsLimited, Fixture)
{
    this->replica.replace({}, { {}, 9 });
    for (Revision revision = 10; revision < 15; ++revision) {
        this->replica.apply({ { { "key-" + std::to_string(revision), std::string(100'000, 'v'), revision, false } },
                              { {}, revision },
                              {} });
    }
    const auto batch = this->watch({ {}, 9 }, Milliseconds(100));
    BOOST_TEST(batch.value().events.size() == 1U);
    BOOST_TEST(batch.value().hasMore);
    BOOST_TEST(batch.value().position.revision == 10U);
}

// Guards against a process that ends or responds with entries of its choice when a request has an invalid key.
BOOST_FIXTURE_TEST_CASE(rejectsInvalidListKey, Fixture)
{
    this->replica.replace({}, { {}, 9 });
    int status = 0;
    this->feedServer.handle("/feed/list?after=zz",
                            [&status](const AuxiliaryResponse &response) { status = response.status; });
    BOOST_TEST(status == 400);
}

// Guards against delaying a change until the wait of a watch is over.
BOOST_FIXTURE_TEST_CASE(changeCompletesWatch, Fixture)
{
    this->replica.replace({}, { {}, 9 });
    std::optional<Result<FeedBatch>> result;
    this->feed->watch(
        { {}, 9 }, std::chrono::seconds(4), [&result](const Result<FeedBatch> &batch) { result = batch; });
    runFor(this->io, std::chrono::milliseconds(20));
    BOOST_TEST(!result.has_value());
    this->replica.apply({ { { "a", "1", 11, false } }, { {}, 12 }, {} });
    this->feedServer.replicaUpdated();
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    BOOST_TEST(result->value().events.at(0).key == "a");
    BOOST_TEST(result->value().position.revision == 12U);
}

// Guards against feed data that becomes stale on its way through two instances, because the first one does not forward
// a confirmation of its freshness at once.
BOOST_FIXTURE_TEST_CASE(confirmationCompletesWatch, Fixture)
{
    this->replica.replace({}, { {}, 9 });
    std::optional<Result<FeedBatch>> result;
    this->feed->watch(
        { {}, 9 }, std::chrono::seconds(4), [&result](const Result<FeedBatch> &batch) { result = batch; });
    runFor(this->io, std::chrono::milliseconds(400));
    BOOST_TEST(!result.has_value());
    this->freshness.confirm(this->clock.now());
    this->feedServer.replicaUpdated();
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    BOOST_TEST(result->value().events.empty());
    // The age is counted from the request, which is older than the confirmation.
    BOOST_TEST((result->value().age < Milliseconds(-300)));
}

// Guards against feed data that appears fresher than it is: each response states the age of the other instance's data.
BOOST_FIXTURE_TEST_CASE(responseStatesAge, Fixture)
{
    this->replica.replace({}, { {}, 9 });
    runFor(this->io, std::chrono::milliseconds(30));
    const auto batch = this->watch({ {}, 9 }, Milliseconds(20));
    BOOST_TEST(batch.value().events.empty());
    BOOST_TEST((batch.value().age >= Milliseconds(30)));
}

// Guards against changes that are missed because the history of the other instance does not reach back far enough, and
// against reading from an instance whose replica is still empty.
BOOST_FIXTURE_TEST_CASE(rejectsWatchWithoutDataOrHistory, Fixture)
{
    BOOST_TEST((this->watch({ {}, 9 }, {}).error() == FeedError::Busy));
    this->replica.replace({}, { {}, 9 });
    BOOST_TEST((this->watch({ {}, 4 }, {}).error() == FeedError::HistoryCompacted));
}

// Guards against entries and revisions of one era that are taken for those of another one on their way between
// instances.
BOOST_FIXTURE_TEST_CASE(readersOfOtherErasAreTold, Fixture)
{
    this->replica.replace({ { "a", "1", 3, false } }, { StoreEra(2), 9 });
    BOOST_TEST(this->watch({ StoreEra(2), 9 }, {}).value().position == this->replica.position());
    BOOST_TEST((this->watch({ StoreEra(1), 9 }, {}).error() == FeedError::HistoryCompacted));
    BOOST_TEST((this->watch({ StoreEra(3), 9 }, {}).error() == FeedError::Busy));
}

// Guards against a reader that waits for changes of an era that has ended meanwhile.
BOOST_FIXTURE_TEST_CASE(newEraCompletesWatch, Fixture)
{
    this->replica.replace({}, { {}, 9 });
    std::optional<Result<FeedBatch>> result;
    this->feed->watch(
        { {}, 9 }, std::chrono::seconds(4), [&result](const Result<FeedBatch> &batch) { result = batch; });
    runFor(this->io, std::chrono::milliseconds(20));
    this->replica.replace({}, { StoreEra(1), 9 });
    this->feedServer.replicaUpdated();
    BOOST_REQUIRE(runUntil(this->io, [&result] { return result.has_value(); }));
    BOOST_TEST((result->error() == FeedError::HistoryCompacted));
}

// Guards against instances of older programs, which name no era, that list all entries without end or resume from a
// revision that the store has lost.
BOOST_FIXTURE_TEST_CASE(olderProgramsNameNoEra, Fixture)
{
    this->replica.replace({}, { StoreEra(2), 9 });
    const auto statusOf = [this](const std::string &target) {
        int status = 0;
        this->feedServer.handle(target, [&status](const AuxiliaryResponse &response) { status = response.status; });
        return status;
    };
    BOOST_TEST(statusOf("/feed/watch?after=9&wait=0") == 200);
    BOOST_TEST(statusOf("/feed/watch?after=10&wait=0") == 410);
    const auto body = nlohmann::json::to_cbor({ { "e", nlohmann::json::array() }, { "at", 12 }, { "age", 0 } });
    RawHttpServer olderProgram(this->io, [&body](int) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + std::string(body.begin(), body.end());
    });
    this->feed = std::make_unique<PeerFeedSource>(this->io, olderProgram.address());
    BOOST_TEST(this->watch({ StoreEra(2), 9 }, {}).value().position == (FeedPosition { StoreEra(0), 12 }));
}

// Guards against a reader that waits for an instance that does not accept connections.
BOOST_FIXTURE_TEST_CASE(reportsUnreachableInstance, Fixture)
{
    this->server.reset();
    this->feed = std::make_unique<PeerFeedSource>(this->io, "127.0.0.1:1");
    BOOST_TEST((this->watch({ {}, 9 }, {}).error() == FeedError::Unreachable));
}

// Guards against a response to a HEAD request with a body, which the caller would read as the next response.
BOOST_FIXTURE_TEST_CASE(headResponseHasNoBody, Fixture)
{
    boost::asio::ip::tcp::socket socket(this->io);
    socket.connect({ boost::asio::ip::address_v4::loopback(), this->server->port() });
    boost::asio::write(socket, boost::asio::buffer(std::string("HEAD /feed/list?after= HTTP/1.1\r\n\r\n")));
    runFor(this->io, std::chrono::milliseconds(100));
    std::string received(1024, '\0');
    received.resize(socket.read_some(boost::asio::buffer(received)));
    BOOST_TEST(received.find("503") != std::string::npos);
    BOOST_TEST(received.find("\r\n\r\n") + 4 == received.size());
}

BOOST_AUTO_TEST_SUITE_END()

}
