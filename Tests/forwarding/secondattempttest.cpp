#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

/// A long single request at an instance with a small share of the fleet's retry budget.
struct SecondAttemptFixture : public ForwardingFixture
{
    static constexpr Duration objective = Milliseconds(1500);
    static constexpr Duration timeout = std::chrono::seconds(15);
    /// One of 84 instances with even shares, which gets a sixteenth of an extra attempt per second.
    static constexpr double smallShare = 1.0 / 84;

    SecondAttemptFixture()
    {
        this->routeToService();
        this->route.latencyObjective = objective;
        this->route.timeout = timeout;
        this->retryBudget.setLimits({ 0.2, 208, std::chrono::seconds(10) });
        this->retryBudget.setFleetShare(smallShare);
        for (int sample = 0; sample < 30; ++sample) {
            this->latencies.record(this->route.name, Milliseconds(200));
        }
    }

    ~SecondAttemptFixture()
    {
        this->finishAllRequests();
    }

    /// An instance that has made no extra attempt for a while.
    void idle()
    {
        this->clock.advance(std::chrono::seconds(60));
    }

    /// Starts a request whose endpoint's connection is lost 1 ms later.
    void startAndCrash()
    {
        this->start();
        this->clock.advance(Milliseconds(1));
        this->endpointSender.calls.back()->finish(CallResult::Lost);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(SecondAttemptTest, SecondAttemptFixture)

// Guards against a 502 although the instance has made no extra attempt since its start. Pattern: the endpoint crashes
// 1 ms after the first request that this instance sends to the service, with 15 s left.
BOOST_AUTO_TEST_CASE(crashAfterIdleTimeIsRetried)
{
    this->idle();
    this->startAndCrash();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 2U);
    this->call(1).finish(CallResult::Answered);
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies.front().response.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
