#include "admission/naiveratelimiter.h"
#include "admission/tokencache.h"
#include "admission/windowchecker.h"
#include "lease/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> eight { "a", "b", "c", "d", "e", "f", "g", "h" };
/// Share of the callers of each instance, in the order of the names; "i" joins without callers.
const std::vector<double> shares { 0.4, 0.25, 0.15, 0.1, 0.05, 0.03, 0.01, 0.01 };
/// Its callers stay below the rate.
const OrganisationId steady("steady");
/// Its callers send five times the rate.
const OrganisationId heavy("heavy");
constexpr double rate = 100;
constexpr double burst = 100;
constexpr double steadyLoad = 80;
constexpr double heavyLoad = 500;
constexpr auto patience = 500ms;

RateLimits limitsOf(double steadyRate, double heavyRate)
{
    return { { steady, { steadyRate, burst } }, { heavy, { heavyRate, burst } } };
}

ResourceId resourceOf(const OrganisationId &organisation)
{
    return organisationResource(organisation);
}

/// An instance with both kinds of admission.
class AdmissionNode : public Node
{
public:
    AdmissionNode(Fleet &owner, const std::string &name, const RateLimits &limits)
        : Node(owner, name, std::chrono::seconds(owner.random.uniformInteger(5000)), 1.0)
        , limiter(this->clock, this->leases, this->counters)
        , cache(this->clock, this->timers, owner.random, *this, this->leases, this->limiter, this->counters)
        , naive(this->clock, this->peers, this->counters)
    {
        this->limiter.setHolderHint([this](const ResourceId &resource) { return this->leases.holder(resource); });
        this->leases.onGained([this](const ResourceId &resource) { this->limiter.gained(organisationOf(resource)); });
        this->leases.onLost([this](const ResourceId &resource) { this->limiter.lost(organisationOf(resource)); });
        this->setLimits(limits);
    }
    void setLimits(const RateLimits &limits)
    {
        this->limiter.setLimits(limits);
        this->naive.setLimits(limits);
    }
    void receive(const InstanceId &from, const PeerMessage &message) override
    {
        Node::receive(from, message);
        if (const auto *request = std::get_if<TokenRequest>(&message)) {
            this->send(from, this->limiter.handle(from, *request));
        } else if (const auto *reply = std::get_if<TokenReply>(&message)) {
            this->cache.handle(from, *reply);
        }
    }
    static OrganisationId organisationOf(const ResourceId &resource)
    {
        return OrganisationId(resource.value().substr(std::string("organisation/").size()));
    }

    RateLimiter limiter;
    TokenCache cache;
    NaiveRateLimiter naive;
};

struct Share
{
    double asked = 0;
    double admitted = 0;
};

/// Callers of both organisations at a fleet, and what was admitted.
class Load
{
public:
    explicit Load(std::uint64_t seed)
        : fleet(seed)
        , arrivals(seed + 1000)
        , limits(limitsOf(rate, rate))
    {
        this->fleet.makeNode = [this](Fleet &owner, const std::string &name) {
            return std::make_unique<AdmissionNode>(owner, name, this->limits);
        };
        this->fleet.resources = { resourceOf(steady), resourceOf(heavy) };
        this->fleet.publish(listOf(eight));
        this->checker.setRate(this->fleet.base.now(), rate);
        for (const std::string &name : eight) {
            this->fleet.start(name);
        }
    }

    AdmissionNode *at(const std::string &name)
    {
        const auto entry = this->fleet.nodes.find(name);
        return entry == this->fleet.nodes.end() ? nullptr : static_cast<AdmissionNode *>(entry->second.get());
    }

    /// Lets callers arrive for a while. When @p measured, the steady ones count in share.
    void run(Duration time, bool measured)
    {
        constexpr auto step = 5ms;
        for (Duration passed {}; passed < time; passed += step) {
            for (std::size_t index = 0; index < eight.size(); ++index) {
                this->arrive(eight[index], steady, steadyLoad * shares[index], step, measured);
                // Idle for 2 of 7 s, so that the bucket fills and the burst counts.
                const bool idle = this->fleet.base.now().time_since_epoch() % 7s < 2s;
                this->arrive(eight[index], heavy, idle ? 0 : heavyLoad * shares[index], step, false);
            }
            this->fleet.base.advance(step);
        }
    }

    /// An event, then five seconds that do not count, then some that do.
    void settle()
    {
        this->run(5s, false);
        const Share before = this->share;
        this->run(4s, true);
        const double admitted = this->share.admitted - before.admitted;
        this->lowest = std::min(this->lowest, admitted / (this->share.asked - before.asked));
    }

    Fleet fleet;
    Random arrivals;
    RateLimits limits;
    WindowChecker checker;
    std::map<OrganisationId, std::vector<TimePoint>> log;
    std::map<OrganisationId, std::vector<TimePoint>> naiveLog;
    Share share;
    Share naiveShare;
    /// Lowest admitted share after one event.
    double lowest = 1;
    /// Instances whose callers do not count, for example on the small side of a partition.
    std::set<std::string> cutOff;

private:
    void arrive(const std::string &name, const OrganisationId &organisation, double load, Duration step, bool measured)
    {
        if (this->arrivals.uniformReal() >= load * std::chrono::duration<double>(step).count()) {
            return;
        }
        AdmissionNode *node = this->at(name);
        if (node == nullptr || node->paused) {
            return;
        }
        const bool counted = measured && this->cutOff.count(name) == 0;
        node->cache.acquire(organisation, patience, [this, organisation, counted](Refusal refusal, Duration) {
            this->share.asked += counted ? 1 : 0;
            if (refusal == Refusal::None) {
                this->log[organisation].push_back(this->fleet.base.now());
                this->share.admitted += counted ? 1 : 0;
            }
        });
        node->naive.acquire(organisation, patience, [this, organisation, counted](Refusal refusal, Duration) {
            this->naiveShare.asked += counted ? 1 : 0;
            if (refusal == Refusal::None) {
                this->naiveLog[organisation].push_back(this->fleet.base.now());
                this->naiveShare.admitted += counted ? 1 : 0;
            }
        });
    }
};

std::string ownerOf(Load &load, const OrganisationId &organisation)
{
    const auto owners = load.fleet.ownersOf(resourceOf(organisation));
    return owners.empty() ? "a" : owners.front()->id.value();
}

void joinAndLeave(Load &load)
{
    std::vector<std::string> nine = eight;
    nine.emplace_back("i");
    load.fleet.publish(listOf(nine));
    load.fleet.start("i");
    load.settle();
    const std::string leaver = ownerOf(load, steady);
    AdmissionNode *node = load.at(leaver);
    node->state = InstanceState::Leaving;
    node->peers.setSelf(InstanceState::Leaving);
    node->leases.leave();
    node->gossip();
    load.settle();
    load.fleet.stop("i");
    load.fleet.publish(listOf(eight));
    load.fleet.start(leaver);
    load.settle();
}

void killAndPause(Load &load)
{
    const std::string killed = ownerOf(load, steady);
    load.fleet.kill(killed, true);
    load.settle();
    load.fleet.start(killed);
    load.settle();
    const std::string paused = ownerOf(load, heavy);
    load.fleet.pause(paused);
    load.run(30s, false);
    load.fleet.resume(paused);
    load.settle();
}

void partitionAndStaleList(Load &load)
{
    // Six of eight instances hold a quorum of five of each panel of seven.
    load.cutOff = { "a", "h" };
    load.fleet.partition(load.cutOff);
    load.settle();
    load.fleet.blocked.clear();
    load.cutOff.clear();
    load.settle();
    std::vector<std::string> nine = eight;
    nine.emplace_back("i");
    load.fleet.publish(listOf(nine), { "a", "c", "e" });
    load.fleet.start("i");
    load.settle();
    load.fleet.refreshLists();
    load.fleet.stop("i");
    load.fleet.publish(listOf(eight));
    load.settle();
}

/// The new limits reach the instances one after the other within 2 s.
void changeLimits(Load &load, double steadyRate, double heavyRate)
{
    const double before = load.limits[heavy].rate;
    load.checker.setRate(load.fleet.base.now(), std::max(before, heavyRate));
    load.limits = limitsOf(steadyRate, heavyRate);
    for (const std::string &name : eight) {
        load.at(name)->setLimits(load.limits);
        load.run(250ms, false);
    }
    load.checker.setRate(load.fleet.base.now(), heavyRate);
    load.settle();
}

/// Lost, late and reordered messages; only the limit counts meanwhile.
void badNetwork(Load &load)
{
    load.fleet.lossShare = 0.1;
    load.fleet.lateShare = 0.2;
    load.run(10s, false);
    load.fleet.lossShare = 0;
    load.fleet.lateShare = 0;
    load.settle();
}

void restartAll(Load &load)
{
    for (const std::string &name : eight) {
        load.fleet.start(name);
    }
    load.settle();
}

}

BOOST_AUTO_TEST_SUITE(AdmissionTest)

// Guards against more than rate * t + burst across the fleet, and against refusals within rate, through membership
// events. The naive limiter has to fail both checks, which shows that they can fail.
BOOST_AUTO_TEST_CASE(limitsHoldThroughMembershipEvents)
{
    double worst = -burst;
    double naiveWorst = -burst;
    double lowestShare = 1;
    double total = 1;
    double lowestNaive = 1;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Load load(seed);
        load.settle();
        joinAndLeave(load);
        killAndPause(load);
        partitionAndStaleList(load);
        changeLimits(load, rate, rate / 2);
        changeLimits(load, rate, rate);
        badNetwork(load);
        restartAll(load);
        for (const OrganisationId &organisation : { steady, heavy }) {
            WindowChecker constant;
            constant.setRate(TimePoint(), rate);
            const WindowChecker &checker = organisation == heavy ? load.checker : constant;
            worst = std::max(worst, checker.excess(load.log[organisation], burst));
            naiveWorst = std::max(naiveWorst, checker.excess(load.naiveLog[organisation], burst));
        }
        const double share = load.share.admitted / load.share.asked;
        const double naiveShare = load.naiveShare.admitted / load.naiveShare.asked;
        BOOST_TEST(load.lowest >= 0.99, "seed " << seed << ": admitted share " << load.lowest << " after an event");
        lowestShare = std::min(lowestShare, load.lowest);
        total = std::min(total, share);
        lowestNaive = std::min(lowestNaive, naiveShare);
        BOOST_TEST(!load.log[heavy].empty());
    }
    BOOST_TEST_MESSAGE("largest excess over rate * t + burst: " << worst << " (naive " << naiveWorst << ")");
    BOOST_TEST_MESSAGE("admitted share within rate: lowest after one event "
                       << lowestShare << ", lowest of a seed " << total << " (naive " << lowestNaive << ")");
    BOOST_TEST(worst <= 1e-6);
    BOOST_TEST(naiveWorst > 1);
    BOOST_TEST(lowestNaive < 0.99);
}

// Guards against admissions with a batch that ran out while the process was paused, and against lost callbacks.
BOOST_AUTO_TEST_CASE(pausedCoordinatorAdmitsNothingOnOldTokens)
{
    Load load(42);
    load.run(5s, false);
    const std::string name = ownerOf(load, steady) == "a" ? "b" : "a";
    AdmissionNode &node = *load.at(name);
    std::vector<Refusal> answers;
    const auto ask = [&](Duration wait) {
        node.cache.acquire(steady, wait, [&](Refusal refusal, Duration) { answers.push_back(refusal); });
    };
    for (int count = 0; count < 20; ++count) {
        ask(500ms);
        load.fleet.base.advance(5ms);
    }
    load.fleet.base.advance(20ms);
    BOOST_TEST(answers.size() == 20U);
    ask(0ms);
    BOOST_REQUIRE((answers.size() == 21U && answers.back() == Refusal::None));
    load.fleet.base.advanceWithoutTimers(400ms);
    ask(100ms);
    BOOST_TEST(answers.size() == 21U);
    load.fleet.base.advance(50ms);
    BOOST_REQUIRE(answers.size() == 22U);
    BOOST_TEST((answers.back() == Refusal::None));
    BOOST_TEST(node.counters.value("lycheewall_tokens_expired_total") > 0U);
}

// Guards against a batch whose validity counts from the arrival of a late reply.
BOOST_AUTO_TEST_CASE(lateBatchCountsFromItsRequest)
{
    Load load(45);
    load.run(5s, false);
    const std::string owner = ownerOf(load, steady);
    AdmissionNode &node = *load.at(owner == "a" ? "b" : "a");
    std::vector<Refusal> answers;
    const auto ask = [&](Duration wait) {
        node.cache.acquire(steady, wait, [&](Refusal refusal, Duration) { answers.push_back(refusal); });
    };
    // Demand, so that the next batch holds more than what waits.
    for (int count = 0; count < 60; ++count) {
        ask(500ms);
        load.fleet.base.advance(5ms);
    }
    load.fleet.base.advance(400ms);
    answers.clear();
    load.fleet.pause(owner);
    ask(500ms);
    load.fleet.base.advance(260ms);
    BOOST_TEST(answers.empty());
    load.fleet.resume(owner);
    load.fleet.base.advance(20ms);
    BOOST_REQUIRE((answers == std::vector<Refusal> { Refusal::None }));
    ask(0ms);
    BOOST_REQUIRE((answers.size() == 2U && answers.back() == Refusal::None));
    const std::uint64_t expired = node.counters.value("lycheewall_tokens_expired_total");
    load.fleet.base.advance(30ms);
    BOOST_TEST(node.counters.value("lycheewall_tokens_expired_total") > expired);
    ask(100ms);
    BOOST_TEST(answers.size() == 2U);
}

// Guards against a request that hangs, or gets the wrong reason, when no owner can be reached.
BOOST_AUTO_TEST_CASE(withoutOwnerRequestsEndWithinTheirPatience)
{
    Load load(43);
    load.run(5s, false);
    const std::string name = ownerOf(load, steady) == "a" ? "b" : "a";
    load.fleet.partition({ name });
    // Until cached tokens have run out.
    load.fleet.base.advance(400ms);
    std::vector<Refusal> answers;
    load.at(name)->cache.acquire(steady, 200ms, [&](Refusal refusal, Duration) { answers.push_back(refusal); });
    load.fleet.base.advance(199ms);
    BOOST_TEST(answers.empty());
    load.fleet.base.advance(2ms);
    BOOST_TEST((answers == std::vector<Refusal> { Refusal::NoOwner }));
}

// Guards against waiting in vain for an empty bucket: the owner's retry-after is passed on at once.
BOOST_AUTO_TEST_CASE(emptyBucketRefusesWithRetryAfter)
{
    Load load(44);
    load.limits = { { steady, { 2, 2 } } };
    for (const std::string &name : eight) {
        load.at(name)->setLimits(load.limits);
    }
    load.fleet.base.advance(10s);
    std::vector<Refusal> answers;
    Duration retryAfter {};
    for (int count = 0; count < 3; ++count) {
        load.at("a")->cache.acquire(steady, 100ms, [&](Refusal refusal, Duration after) {
            answers.push_back(refusal);
            retryAfter = after;
        });
    }
    load.fleet.base.advance(50ms);
    BOOST_REQUIRE(answers.size() == 3U);
    BOOST_TEST((answers.front() == Refusal::None && answers.back() == Refusal::RateExceeded));
    BOOST_TEST(toMilliseconds(retryAfter) > 100);
}

BOOST_AUTO_TEST_SUITE_END()
