#include "forwarding/endpointratelimit.h"

#include "forwarding/fixture.h"
#include "forwarding/shardselection.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace Lycheewall
{

namespace
{

RateLimitStatement limitOf(double requestsPerSecond)
{
    RateLimitStatement statement;
    statement.requestsPerSecond = requestsPerSecond;
    return statement;
}

struct RateLimitFixture : public ForwardingFixture
{
    ~RateLimitFixture()
    {
        this->finishAllRequests();
    }

    void limit(const std::string &endpoint, double requestsPerSecond)
    {
        const TimePoint now = this->clock.now();
        this->endpoints.find(EndpointId(endpoint))->rateLimit.apply(limitOf(requestsPerSecond), now, now);
    }

    /// Number of requests that @p bucket allows within @p duration, when one is tried each millisecond.
    int sendsWithin(EndpointRateLimit &bucket, Duration duration, double share)
    {
        int sends = 0;
        const TimePoint end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            this->clock.advance(Milliseconds(1));
            if (bucket.canSend(share, this->clock.now())) {
                bucket.take(share, this->clock.now());
                ++sends;
            }
        }
        return sends;
    }

    EndpointRateLimit bucket;
};

}

BOOST_FIXTURE_TEST_SUITE(EndpointRateLimitTest, RateLimitFixture)

// Guards against a fleet that exceeds the limit because each instance uses all of it.
BOOST_AUTO_TEST_CASE(instanceSendsItsShareOnly)
{
    this->bucket.apply(limitOf(40), this->clock.now(), this->clock.now());
    const int sends = this->sendsWithin(this->bucket, std::chrono::seconds(4), 0.25);
    BOOST_TEST(sends <= 40);
    BOOST_TEST(sends >= 38);
}

// Guards against a burst after a time without requests.
BOOST_AUTO_TEST_CASE(unusedRateIsNotSavedUp)
{
    this->bucket.apply(limitOf(40), this->clock.now(), this->clock.now());
    this->clock.advance(std::chrono::seconds(60));
    BOOST_TEST(this->sendsWithin(this->bucket, std::chrono::seconds(4), 0.25) <= 45);
}

// Guards against an endpoint that stays limited after it has recovered.
BOOST_AUTO_TEST_CASE(responseWithoutLimitEndsIt)
{
    const TimePoint now = this->clock.now();
    BOOST_TEST((this->bucket.apply(limitOf(1), now, now) == EndpointRateLimit::Change::Began));
    BOOST_TEST((this->bucket.apply({}, now, now) == EndpointRateLimit::Change::Ended));
    BOOST_TEST(this->bucket.canSend(1, now));
}

// Guards against a limit that ends because the response to an earlier request arrives late.
BOOST_AUTO_TEST_CASE(lateResponseToEarlierRequestKeepsLimit)
{
    const TimePoint sentAt = this->clock.now();
    this->clock.advance(Milliseconds(100));
    this->bucket.apply(limitOf(1), this->clock.now(), this->clock.now());
    BOOST_TEST((this->bucket.apply({}, sentAt, this->clock.now()) == EndpointRateLimit::Change::None));
    BOOST_TEST(this->bucket.isLimited());
}

// Guards against a limit that ends, or begins, because of a value that is not a number.
BOOST_AUTO_TEST_CASE(malformedValueChangesNothing)
{
    RateLimitStatement malformed;
    malformed.isMalformed = true;
    this->bucket.apply(malformed, this->clock.now(), this->clock.now());
    BOOST_TEST(!this->bucket.isLimited());
    this->bucket.apply(limitOf(5), this->clock.now(), this->clock.now());
    this->bucket.apply(malformed, this->clock.now(), this->clock.now());
    BOOST_TEST(this->bucket.isLimited());
}

// Guards against an endpoint that is never used again: without any request, no response can end the limit.
BOOST_AUTO_TEST_CASE(limitOfZeroAllowsFewRequests)
{
    this->bucket.apply(limitOf(0), this->clock.now(), this->clock.now());
    const int sends = this->sendsWithin(this->bucket, std::chrono::seconds(40), 1);
    BOOST_TEST(sends >= 1);
    BOOST_TEST(sends <= 21);
}

// Guards against a limit that overflows the bucket.
BOOST_AUTO_TEST_CASE(hugeLimitIsNoLimit)
{
    this->bucket.apply(limitOf(1e300), this->clock.now(), this->clock.now());
    BOOST_TEST(this->sendsWithin(this->bucket, std::chrono::seconds(1), 0.01) >= 999);
    BOOST_TEST((this->bucket.waitTime(0.01, this->clock.now()) == Duration::zero()));
}

// Guards against a process that inherits the limit of the one that ran under its id before.
BOOST_AUTO_TEST_CASE(newProcessBeginsWithoutLimit)
{
    this->limit("s1a", 1);
    EndpointRecord record = this->endpoints.find(EndpointId("s1a"))->record;
    record.processStartMs = 2;
    this->endpoints.addOrUpdate(record, this->clock.now());
    BOOST_TEST(!this->endpoints.find(EndpointId("s1a"))->rateLimit.isLimited());
}

// Guards against first attempts, retries and hedges at an endpoint that takes no more, while another one is free.
BOOST_AUTO_TEST_CASE(attemptsGoToEndpointsThatTakeThem)
{
    this->routeToService();
    this->fillBudget();
    this->limit("s1a", 0.5);
    this->start();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 1U);
    BOOST_TEST(this->call(0).call.endpoint->record.id.value() == "s1b");
    this->call(0).finish(CallResult::NotRun);
    BOOST_TEST(this->endpointSender.calls.size() == 1U);
    this->start();
    this->clock.advance(Milliseconds(900));
    BOOST_TEST(this->endpointSender.calls.size() == 2U);
}

// Guards against a request that waits, or ends with an unknown outcome, although it is certain that no endpoint takes
// it.
BOOST_AUTO_TEST_CASE(refusesSingleRequestAtOnce)
{
    this->routeToService();
    this->limit("s1a", 2);
    this->limit("s1b", 4);
    this->start();
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::EndpointThrottled));
    BOOST_TEST((this->replies[0].execution() == Execution::NotRun));
    BOOST_TEST(this->replies[0].retryAfter().has_value());
    BOOST_TEST((*this->replies[0].retryAfter() >= Milliseconds(250)));
    BOOST_TEST((*this->replies[0].retryAfter() <= Milliseconds(450)));
}

// Guards against callers that were refused together and return in the same moment.
BOOST_AUTO_TEST_CASE(refusedCallersReturnAtDifferentTimes)
{
    this->routeToService();
    this->limit("s1a", 2);
    this->limit("s1b", 2);
    std::set<Duration> times;
    constexpr std::size_t callers = 10;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        this->start();
        BOOST_REQUIRE(this->replies.size() == caller + 1);
        times.insert(this->replies.back().retryAfter().value());
    }
    BOOST_TEST(times.size() == callers);
}

// Guards against a query that uses up the rate of some shards although too few others can respond.
BOOST_AUTO_TEST_CASE(refusesQueryBeforeSendingAnything)
{
    this->routeToShards(1);
    this->limit("s2a", 2);
    this->limit("s2b", 2);
    this->start();
    BOOST_TEST(this->endpointSender.calls.empty());
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST((this->replies[0].refusal() == Refusal::EndpointThrottled));
    BOOST_TEST((this->replies[0].execution() == Execution::NotRun));
    BOOST_TEST((*this->replies[0].retryAfter() >= Milliseconds(500)));
}

// Guards against a refusal although the required coverage can be reached without the shard.
BOOST_AUTO_TEST_CASE(leavesOutShardThatTakesNoMore)
{
    this->routeToShards(0.5);
    this->limit("s2a", 2);
    this->limit("s2b", 2);
    this->start();
    BOOST_REQUIRE(this->endpointSender.calls.size() == 1U);
    this->call(0).finish(CallResult::Answered, 200, "aaaaaaaaaaaaaaaa");
    BOOST_REQUIRE(this->replies.size() == 1U);
    BOOST_TEST(this->replies[0].merged()->missingShards == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
