#include "forwarding/endpointbackoff.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

struct BackoffFixture
{
    bool canSend(int inFlight = 0) const
    {
        return this->backoff.canSend(inFlight, this->clock.now());
    }

    ManualClock clock;
    EndpointBackoff backoff;
};

}

BOOST_FIXTURE_TEST_SUITE(EndpointBackoffTest, BackoffFixture)

// Guards against requests to an endpoint that wants none, and against one that is never used again.
BOOST_AUTO_TEST_CASE(sendsNothingUntilDelayEnds)
{
    BOOST_TEST(this->canSend(100));
    this->backoff.start(std::chrono::seconds(2), this->clock.now());
    BOOST_TEST(!this->canSend());
    BOOST_TEST((this->backoff.waitTime(0, this->clock.now()) == std::chrono::seconds(2)));
    this->clock.advance(Milliseconds(1999));
    BOOST_TEST(!this->canSend());
    this->clock.advance(Milliseconds(1));
    BOOST_TEST(this->canSend());
}

// Guards against all waiting requests that are sent in the moment in which the delay ends.
BOOST_AUTO_TEST_CASE(returnsBySlope)
{
    this->backoff.start(std::chrono::seconds(1), this->clock.now());
    this->clock.advance(std::chrono::seconds(1));
    for (const int window : { 1, 2, 4, 8, 16 }) {
        BOOST_TEST(this->canSend(window - 1));
        BOOST_TEST(!this->canSend(window));
        this->backoff.requestServed(this->clock.now());
    }
    BOOST_TEST(this->canSend(100));
    BOOST_TEST(!this->backoff.isActive());
}

// Guards against a backoff that ends because of a request that the endpoint had accepted before.
BOOST_AUTO_TEST_CASE(earlierRequestsDoNotEndIt)
{
    const TimePoint sentAt = this->clock.now();
    this->backoff.start(std::chrono::seconds(1), this->clock.now());
    for (int count = 0; count < 10; ++count) {
        this->backoff.requestServed(sentAt);
    }
    BOOST_TEST(!this->canSend());
}

// Guards against a second refusal that shortens the first one, and against one that is not respected.
BOOST_AUTO_TEST_CASE(laterEndWins)
{
    this->backoff.start(std::chrono::seconds(5), this->clock.now());
    this->backoff.start(std::chrono::seconds(1), this->clock.now());
    this->clock.advance(std::chrono::seconds(4));
    BOOST_TEST(!this->canSend());
    this->backoff.start(std::chrono::seconds(3), this->clock.now());
    this->clock.advance(std::chrono::seconds(2));
    BOOST_TEST(!this->canSend());
    this->clock.advance(std::chrono::seconds(1));
    BOOST_TEST(this->canSend());
}

// Guards against a mistaken value that excludes an endpoint for good.
BOOST_AUTO_TEST_CASE(hugeDelayIsShortened)
{
    this->backoff.start(std::chrono::hours(24), this->clock.now());
    this->clock.advance(std::chrono::minutes(10));
    BOOST_TEST(this->canSend());
}

// Guards against a delay of zero that excludes an endpoint.
BOOST_AUTO_TEST_CASE(delayOfZeroAllowsOneRequestAtOnce)
{
    this->backoff.start(Duration::zero(), this->clock.now());
    BOOST_TEST(this->canSend());
    BOOST_TEST(!this->canSend(1));
}

BOOST_AUTO_TEST_SUITE_END()

}
