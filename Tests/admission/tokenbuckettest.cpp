#include "admission/ratelimiter.h"
#include "admission/windowchecker.h"
#include "core/manualclock.h"
#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

const InstanceId peer("a");
const OrganisationId organisation("x");

class FixedOwnership : public Ownership
{
public:
    bool owns(const ResourceId &) const override
    {
        return this->owned;
    }
    bool owned = true;
};

TokenRequest requestFor(std::uint64_t id, std::uint32_t wanted, std::uint32_t returned = 0, std::uint64_t batch = 0)
{
    return { id, organisation, wanted, returned, batch };
}

}

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

// Guards against a full bucket at the start, a wrong depth, and a validity that a small burst cannot cover.
BOOST_AUTO_TEST_CASE(depthAndValidityFollowTheLimit)
{
    ManualClock clock;
    TokenBucket bucket({ 100, 100 }, clock.now());
    BOOST_TEST(bucket.take({ peer, 1 }, 10, clock.now()) == 0U);
    BOOST_TEST(toMilliseconds(bucket.untilNext(clock.now())) == 10);
    BOOST_TEST(bucket.depth() == 70.0, boost::test_tools::tolerance(1e-9));
    clock.advance(10s);
    BOOST_TEST(bucket.take({ peer, 2 }, 1000, clock.now()) == 70U);
    BOOST_TEST(toMilliseconds(TokenBucket::validityOf({ 100, 100 })) == 300);
    BOOST_TEST(toMilliseconds(TokenBucket::validityOf({ 100, 20 })) == 100);
    clock.advance(10s);
    bucket.setLimit({ 50, 25 }, clock.now());
    BOOST_TEST(bucket.take({ peer, 3 }, 1000, clock.now()) == 12U);
}

// Guards against credit beyond what the bucket would hold had the tokens never been taken, against credit for unknown
// batches, and against a second credit for one batch.
BOOST_AUTO_TEST_CASE(returnsAreCreditedOnceAndNeverAboveTheDepth)
{
    ManualClock clock;
    TokenBucket bucket({ 100, 100 }, clock.now());
    clock.advance(10s);
    BOOST_TEST(bucket.take({ peer, 1 }, 20, clock.now()) == 20U);
    BOOST_TEST(bucket.giveBack({ peer, 9 }, 20, clock.now()) == 0.0);
    BOOST_TEST(bucket.giveBack({ peer, 1 }, 50, clock.now()) == 20.0);
    BOOST_TEST(bucket.giveBack({ peer, 1 }, 20, clock.now()) == 0.0);
    BOOST_TEST(bucket.take({ peer, 2 }, 20, clock.now()) == 20U);
    clock.advance(200ms);
    // The bucket is full again. Spending it and then crediting the old batch would exceed the limit.
    BOOST_TEST(bucket.take({ peer, 3 }, 70, clock.now()) == 70U);
    BOOST_TEST(bucket.giveBack({ peer, 2 }, 20, clock.now()) == 0.0);
}

// Guards against a window above rate * t + burst when batches are used late, partly returned and taken again, with
// limits that include bursts too small for the usual depth.
BOOST_AUTO_TEST_CASE(usesStayWithinTheLimitInEveryWindow)
{
    double worst = -1000;
    for (const RateLimit limit : { RateLimit { 100, 100 }, RateLimit { 100, 20 }, RateLimit { 5, 1 } }) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            ManualClock clock;
            Random random(seed);
            TokenBucket bucket(limit, clock.now());
            WindowChecker checker;
            checker.setRate(clock.now(), limit.rate);
            std::vector<TimePoint> uses;
            std::vector<std::pair<std::uint64_t, std::uint32_t>> unused;
            for (std::uint64_t id = 1; id <= 1000; ++id) {
                clock.advance(Milliseconds(random.uniformInteger(id % 50 == 0 ? 3000 : 40)));
                const auto taken = bucket.take({ peer, id }, 1 + random.uniformInteger(30), clock.now());
                const auto used = static_cast<std::uint32_t>(random.uniformInteger(taken + 1));
                for (std::uint32_t count = 0; count < used; ++count) {
                    uses.push_back(clock.now() + bucket.validity() * random.uniformInteger(1000) / 1000);
                }
                unused.emplace_back(id, taken - used);
                const auto [returned, rest] = unused[random.uniformInteger(unused.size())];
                bucket.giveBack({ peer, returned }, rest, clock.now());
            }
            worst = std::max(worst, checker.excess(uses, limit.burst));
        }
    }
    BOOST_TEST_MESSAGE("largest excess with late use and returns: " << worst);
    BOOST_TEST(worst <= 1e-6);
}

// Guards against grants without a lease or without a bucket, and against a new tenure that credits tokens of an old
// one.
BOOST_AUTO_TEST_CASE(limiterGrantsOnlyWithinItsTenure)
{
    ManualClock clock;
    FixedOwnership ownership;
    Counters counters;
    RateLimiter limiter(clock, ownership, counters, [](const ResourceId &) { return InstanceId("b"); });
    limiter.setLimits({ { organisation, { 100, 100 } } });
    TokenReply reply = limiter.handle(peer, requestFor(1, 5));
    BOOST_TEST((reply.reason == Refusal::NotOwner && reply.holder == InstanceId("b")));
    limiter.gained(organisation);
    BOOST_TEST((limiter.handle(peer, requestFor(2, 5)).reason == Refusal::RateExceeded));
    clock.advance(1s);
    reply = limiter.handle(peer, requestFor(3, 5));
    BOOST_TEST((reply.granted == 5U && reply.validMs == 300 && reply.reason == Refusal::None));
    ownership.owned = false;
    BOOST_TEST((limiter.handle(peer, requestFor(4, 5)).reason == Refusal::NotOwner));
    limiter.lost(organisation);
    limiter.gained(organisation);
    ownership.owned = true;
    reply = limiter.handle(peer, requestFor(5, 5, 5, 3));
    BOOST_TEST((reply.granted == 0U && reply.reason == Refusal::RateExceeded));
}

BOOST_AUTO_TEST_SUITE_END()
