#include "gateway/connectionbudget.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ConnectionBudgetTest)

namespace
{

using Phase = ConnectionBudget::Phase;
using Resource = ConnectionBudget::Resource;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t idleBytes = 4 * kibibyte;
constexpr std::size_t memoryBytes = 8 * mebibyte;
constexpr std::size_t sockets = 160;

/// Closes when it is told to end, as a connection that has received no request does.
class TestConnection : public ConnectionBudget::Holder
{
public:
    explicit TestConnection(ConnectionBudget &connectionBudget)
        : budget(connectionBudget)
        , wasAdded(connectionBudget.add(*this))
    {
    }
    ~TestConnection() override
    {
        this->budget.remove(*this);
    }

    void endForShortage(Resource resource) override
    {
        this->ended = resource;
        this->budget.update(*this, Phase::Closed, this->bytesAfterEnd);
    }
    void update(Phase phase, std::size_t bytes)
    {
        this->budget.update(*this, phase, bytes);
    }

    std::optional<Resource> ended;
    /// What the connection still holds once it is closed.
    std::size_t bytesAfterEnd = 0;

private:
    ConnectionBudget &budget;

public:
    bool wasAdded;
};

struct Fixture
{
    TestConnection &connect()
    {
        return this->connections.emplace_back(this->budget);
    }

    TestConnection &connect(Phase phase, std::size_t bytes)
    {
        TestConnection &connection = this->connect();
        connection.update(phase, bytes);
        return connection;
    }

    int endedFor(Resource resource) const
    {
        return static_cast<int>(
            std::count_if(this->connections.begin(), this->connections.end(), [resource](const TestConnection &each) {
                return each.ended == resource;
            }));
    }

    ManualClock clock;
    Counters counters;
    ConnectionBudget budget { clock, counters, { memoryBytes, memoryBytes, sockets } };
    std::size_t endpointSockets = 0;
    std::deque<TestConnection> connections;
};

}

// Guards against memory that grows with the number of requests that are received in part.
BOOST_FIXTURE_TEST_CASE(boundsIncompleteRequests, Fixture)
{
    for (int count = 0; count < 100; ++count) {
        this->connect(Phase::Receiving, 256 * kibibyte);
        this->clock.advance(Milliseconds(1));
        BOOST_TEST(this->budget.heldBytes() <= memoryBytes);
    }
    BOOST_TEST(this->endedFor(Resource::Memory) > 60);
    BOOST_TEST(!this->connections.back().ended);
}

// Guards against a small or recent request that is refused in place of a large one that does not move.
BOOST_FIXTURE_TEST_CASE(endsWhatHoldsMostForLongest, Fixture)
{
    TestConnection &stalled = this->connect(Phase::Receiving, 2 * mebibyte);
    TestConnection &slow = this->connect(Phase::Receiving, 8 * kibibyte);
    this->clock.advance(std::chrono::seconds(2));
    TestConnection &recent = this->connect(Phase::Receiving, 3 * mebibyte);
    TestConnection &latest = this->connect(Phase::Receiving, 3 * mebibyte + mebibyte / 2);
    BOOST_TEST(stalled.ended.has_value());
    BOOST_TEST(!slow.ended);
    BOOST_TEST(!recent.ended);
    BOOST_TEST(!latest.ended);
}

// Guards against idle connections of ordinary clients that are closed to make room for incomplete requests.
BOOST_FIXTURE_TEST_CASE(idleConnectionsStayOpen, Fixture)
{
    TestConnection &idle = this->connect(Phase::Idle, idleBytes);
    this->clock.advance(std::chrono::minutes(1));
    for (int count = 0; count < 50; ++count) {
        this->connect(Phase::Receiving, 256 * kibibyte);
    }
    BOOST_TEST(!idle.ended);
}

// Guards against a request that may have run and is cut, and against admitting more than there is memory for.
BOOST_FIXTURE_TEST_CASE(servedRequestsAreNotEnded, Fixture)
{
    int admitted = 0;
    for (int count = 0; count < 100; ++count) {
        TestConnection &connection = this->connect(Phase::Receiving, idleBytes);
        admitted += this->budget.startServing(connection, 512 * kibibyte, 1) ? 0 : 1;
        this->connect(Phase::Receiving, 256 * kibibyte);
        BOOST_TEST(this->budget.heldBytes() <= memoryBytes);
    }
    BOOST_TEST(admitted == 12);
    for (int number = 0; number < 2 * admitted; number += 2) {
        BOOST_TEST(!this->connections[static_cast<std::size_t>(number)].ended);
    }
}

// Guards against small requests that are refused because large ones hold all memory.
BOOST_FIXTURE_TEST_CASE(smallRequestsAreServedBesideLargeOnes, Fixture)
{
    std::optional<Resource> shortage;
    while (!shortage) {
        shortage = this->budget.startServing(this->connect(), 512 * kibibyte, 1);
    }
    BOOST_TEST((shortage == Resource::Memory));
    BOOST_TEST(!this->budget.startServing(this->connect(), 12 * kibibyte, 1));
}

// Guards against refusing a single request that needs more than the whole budget, for example one to many shards.
BOOST_FIXTURE_TEST_CASE(singleLargeRequestIsServedWhateverItsSize, Fixture)
{
    const std::size_t bytes = this->budget.maxRequestBytes();
    BOOST_TEST(!this->budget.startServing(this->connect(), idleBytes, 1));
    BOOST_TEST(!this->budget.startServing(this->connect(), bytes, 1));
    BOOST_TEST(!this->budget.startServing(this->connect(), idleBytes, 1));
    BOOST_TEST(this->budget.startServing(this->connect(), bytes, 1).has_value());
}

// Guards against a budget that counts memory as free which a closed connection still holds: many responses may be made
// at once.
BOOST_FIXTURE_TEST_CASE(closedConnectionsHoldMemoryUntilTheyAreRemoved, Fixture)
{
    for (int count = 0; count < 8; ++count) {
        TestConnection &connection = this->connect();
        connection.bytesAfterEnd = mebibyte;
        connection.update(Phase::Sending, mebibyte);
    }
    TestConnection &last = this->connect();
    last.update(Phase::Sending, mebibyte);
    BOOST_TEST(this->endedFor(Resource::Memory) > 0);
    BOOST_TEST(!this->budget.makeRoomForResponse(mebibyte));
    this->connections.clear();
    BOOST_TEST(this->budget.heldBytes() == 0U);
    BOOST_TEST(this->budget.makeRoomForResponse(memoryBytes));
}

// Guards against running out of descriptors, and against closing connections of ordinary clients before those that have
// sent nothing.
BOOST_FIXTURE_TEST_CASE(boundsConnections, Fixture)
{
    TestConnection &served = this->connect(Phase::Receiving, idleBytes);
    served.update(Phase::Sending, idleBytes);
    served.update(Phase::Idle, idleBytes);
    for (int count = 0; count < 1000; ++count) {
        this->clock.advance(Milliseconds(1));
        BOOST_TEST(this->connect().wasAdded);
        BOOST_TEST(this->budget.connectionCount() <= sockets - sockets / 4);
    }
    BOOST_TEST(!served.ended);
    BOOST_TEST(!this->connections.back().ended);
}

// Guards against connections to endpoints for which no descriptor is left, and against a new connection that is
// accepted while all others are served.
BOOST_FIXTURE_TEST_CASE(requestsAndTheirEndpointsShareDescriptors, Fixture)
{
    this->budget.setEndpointSockets([this] { return this->endpointSockets; });
    std::optional<Resource> shortage;
    while (!shortage) {
        TestConnection &connection = this->connect();
        BOOST_REQUIRE(connection.wasAdded);
        shortage = this->budget.startServing(connection, idleBytes, 2);
        this->endpointSockets += shortage ? 0 : 2;
        BOOST_REQUIRE(this->budget.connectionCount() + this->endpointSockets <= sockets);
    }
    BOOST_TEST((shortage == Resource::Descriptors));
    BOOST_TEST(this->endpointSockets > sockets / 2);
}

// Guards against readiness checks and connections of other instances that end because small requests in flight hold all
// memory.
BOOST_FIXTURE_TEST_CASE(requestsInFlightLeaveMemoryToOtherConnections, Fixture)
{
    constexpr std::size_t manySockets = 4096;
    this->budget.setLimits({ memoryBytes, memoryBytes, manySockets });
    TestConnection &idle = this->connect(Phase::Idle, idleBytes);
    std::optional<Resource> shortage;
    while (!shortage) {
        shortage = this->budget.startServing(this->connect(), 31 * kibibyte, 0);
    }
    this->clock.advance(Milliseconds(1));
    TestConnection &readiness = this->connect(Phase::Idle, idleBytes);
    this->connect(Phase::Receiving, mebibyte);
    BOOST_TEST(!idle.ended);
    BOOST_TEST(!readiness.ended);
}

// Guards against readiness checks that are rejected because requests that wait for an endpoint use all descriptors.
BOOST_FIXTURE_TEST_CASE(requestsInFlightLeaveDescriptorsToOtherConnections, Fixture)
{
    std::optional<Resource> shortage;
    while (!shortage) {
        TestConnection &connection = this->connect();
        BOOST_REQUIRE(connection.wasAdded);
        shortage = this->budget.startServing(connection, idleBytes, 1);
    }
    BOOST_TEST((shortage == Resource::Descriptors));
    BOOST_TEST(this->connect().wasAdded);
}

// Guards against readiness checks that are rejected because requests and their endpoints use all descriptors.
BOOST_FIXTURE_TEST_CASE(requestsAndTheirEndpointsLeaveDescriptorsToOtherConnections, Fixture)
{
    this->budget.setEndpointSockets([this] { return this->endpointSockets; });
    std::optional<Resource> shortage;
    while (!shortage) {
        TestConnection &connection = this->connect();
        BOOST_REQUIRE(connection.wasAdded);
        shortage = this->budget.startServing(connection, idleBytes, 1);
        this->endpointSockets += shortage ? 0 : 1;
    }
    TestConnection &readiness = this->connect();
    BOOST_TEST(readiness.wasAdded);
    BOOST_TEST((this->budget.startServing(this->connect(), idleBytes, 1) == Resource::Descriptors));
    BOOST_TEST(!readiness.ended);
}

// Guards against limits that leave no room on a small machine, or that exceed its memory.
BOOST_AUTO_TEST_CASE(limitsFollowTheMachine)
{
    const ConnectionLimits small = ConnectionLimits::ofMachine(112 * mebibyte, 2870);
    BOOST_TEST(small.memoryBytes == 30 * mebibyte);
    BOOST_TEST(small.responseBytes == 30 * mebibyte);
    BOOST_TEST(small.allResponseBytes == 30 * mebibyte);
    BOOST_TEST(small.sockets == 2638U);
    const ConnectionLimits large = ConnectionLimits::ofMachine(512 * mebibyte, 8192);
    BOOST_TEST(large.memoryBytes == 180 * mebibyte);
    BOOST_TEST(large.responseBytes == 32 * mebibyte);
    BOOST_TEST(large.allResponseBytes == 180 * mebibyte);
    const ConnectionLimits tiny = ConnectionLimits::ofMachine(0, 0);
    BOOST_TEST(tiny.memoryBytes > 0U);
    BOOST_TEST(tiny.sockets > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
