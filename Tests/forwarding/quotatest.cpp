#include "core/manualclock.h"
#include "forwarding/organisationquota.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <random>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(OrganisationQuotaTest)

namespace
{

const OrganisationId organisation("org");
constexpr double rate = 80;
constexpr double burst = 80;
constexpr double windowSeconds = 5;
constexpr double overage = 0.25;
constexpr double tolerance = 20;

std::map<OrganisationId, OrganisationSpec> limitsOf(double perSecond, double burstSize)
{
    OrganisationSpec spec;
    spec.id = organisation;
    spec.ratePerSecond = perSecond;
    spec.burst = burstSize;
    return { { organisation, spec } };
}

struct Plan
{
    std::size_t instances = 8;
    double requestsPerSecond = 50;
    Duration exchange = Milliseconds(100);
    /// Instances that hear nobody and are not heard between 5 and 15 s.
    std::size_t cutOff = 0;
    /// Instances that restart at 8 s.
    std::size_t restarted = 0;
    double seconds = 20;
};

struct Outcome
{
    std::size_t asked = 0;
    std::size_t admitted = 0;
    double worstWindow = 0;
};

/// Instances that tell each other of their use, under the load of one organisation.
class Fleet
{
public:
    explicit Fleet(const Plan &fleetPlan)
        : plan(fleetPlan)
        , engine(5)
    {
        for (std::size_t made = 0; made < this->plan.instances; ++made) {
            this->quotas.push_back(this->fresh());
            this->incarnations.push_back(made + 1);
        }
    }

    Outcome run()
    {
        const TimePoint start = this->clock.now();
        std::exponential_distribution<double> gap(this->plan.requestsPerSecond);
        double nextArrival = gap(this->engine);
        TimePoint nextExchange = start;
        std::vector<double> admittedAt;
        Outcome outcome;
        bool cut = false;
        bool didRestart = false;
        for (double now = 0; now < this->plan.seconds; now = this->second(start)) {
            this->clock.advance(Milliseconds(1));
            const bool isCut = this->plan.cutOff > 0 && now > 5 && now < 15;
            if (isCut != cut) {
                cut = isCut;
                this->setCut(cut);
            }
            if (now > 8 && !didRestart) {
                didRestart = true;
                this->restart();
            }
            if (this->clock.now() >= nextExchange) {
                nextExchange = this->clock.now() + this->plan.exchange;
                this->exchange(cut);
            }
            while (nextArrival < now) {
                nextArrival += gap(this->engine);
                ++outcome.asked;
                if (!this->quotas[this->engine() % this->plan.instances]->throttle(organisation)) {
                    ++outcome.admitted;
                    admittedAt.push_back(now);
                }
            }
        }
        outcome.worstWindow = worst(admittedAt);
        return outcome;
    }

private:
    std::unique_ptr<OrganisationQuota> fresh()
    {
        auto quota = std::make_unique<OrganisationQuota>(this->clock);
        quota->setLimits(limitsOf(rate, burst));
        quota->setInstanceCounts(this->plan.instances, this->plan.instances);
        return quota;
    }

    void setCut(bool cut)
    {
        for (std::size_t index = 0; index < this->plan.instances; ++index) {
            const bool isolated = index < this->plan.cutOff;
            const std::size_t heard = !cut ? this->plan.instances
                : isolated                 ? 1
                                           : this->plan.instances - this->plan.cutOff;
            this->quotas[index]->setInstanceCounts(heard, this->plan.instances);
            for (std::size_t other = 0; cut && other < this->plan.instances; ++other) {
                if (isolated || other < this->plan.cutOff) {
                    this->quotas[index]->markUnreachable(InstanceId(std::to_string(other)));
                }
            }
        }
    }

    void restart()
    {
        for (std::size_t index = 0; index < this->plan.restarted; ++index) {
            this->quotas[index] = this->fresh();
            this->incarnations[index] += 1000;
        }
    }

    void exchange(bool cut)
    {
        for (std::size_t from = 0; from < this->plan.instances; ++from) {
            for (std::size_t to = 0; to < this->plan.instances; ++to) {
                if (from != to && !(cut && (from < this->plan.cutOff || to < this->plan.cutOff))) {
                    this->quotas[to]->recordRemoteUsage(InstanceId(std::to_string(from)),
                                                        this->incarnations[from],
                                                        this->quotas[from]->recentUsage(),
                                                        true);
                }
            }
        }
    }

    double second(TimePoint start) const
    {
        return fractionalSeconds(this->clock.now() - start);
    }

    static double worst(const std::vector<double> &admittedAt)
    {
        double most = 0;
        std::size_t begin = 0;
        for (std::size_t end = 0; end < admittedAt.size(); ++end) {
            while (admittedAt[end] - admittedAt[begin] > windowSeconds) {
                ++begin;
            }
            most = std::max(most, static_cast<double>(end - begin + 1));
        }
        return most / ((rate * windowSeconds + burst) * (1 + overage) + tolerance);
    }

    Plan plan;
    ManualClock clock;
    std::mt19937_64 engine;
    std::vector<std::unique_ptr<OrganisationQuota>> quotas;
    std::vector<std::uint64_t> incarnations;
};

}

// Guards against refusals within the rate.
BOOST_AUTO_TEST_CASE(withinTheRateNothingIsRefused)
{
    const Outcome outcome = Fleet(Plan()).run();
    BOOST_TEST(outcome.admitted == outcome.asked);
}

// Guards against a hot organisation that exceeds its limit through several instances, and against one that gets less
// than its rate because of it.
BOOST_AUTO_TEST_CASE(hotOrganisationGetsItsRateAndNotMore)
{
    Plan plan;
    plan.requestsPerSecond = 400;
    const Outcome outcome = Fleet(plan).run();
    BOOST_TEST(outcome.worstWindow <= 1);
    BOOST_TEST(static_cast<double>(outcome.admitted) >= 0.95 * rate * plan.seconds);
}

// Guards against more than the limit while the use of others is heard late.
BOOST_AUTO_TEST_CASE(slowExchangeKeepsTheLimit)
{
    Plan plan;
    plan.requestsPerSecond = 400;
    plan.exchange = Milliseconds(500);
    BOOST_TEST(Fleet(plan).run().worstWindow <= 1);
}

// Guards against a limit that is exceeded because instances are cut off from each other.
BOOST_AUTO_TEST_CASE(cutOffInstancesKeepTheLimit)
{
    Plan plan;
    plan.requestsPerSecond = 400;
    plan.cutOff = 3;
    BOOST_TEST(Fleet(plan).run().worstWindow <= 1);
    plan.requestsPerSecond = 50;
    const Outcome calm = Fleet(plan).run();
    BOOST_TEST(static_cast<double>(calm.admitted) >= 0.98 * static_cast<double>(calm.asked));
}

// Guards against a second burst when all instances are killed and start again.
BOOST_AUTO_TEST_CASE(restartGrantsNoSecondBurst)
{
    Plan plan;
    plan.requestsPerSecond = 400;
    plan.restarted = 8;
    BOOST_TEST(Fleet(plan).run().worstWindow <= 1);
}

// Guards against use that is counted twice or forgotten when the limit changes.
BOOST_AUTO_TEST_CASE(lowerLimitBindsAtOnce)
{
    ManualClock clock;
    OrganisationQuota quota(clock);
    quota.setLimits(limitsOf(100, 100));
    clock.advance(std::chrono::seconds(2));
    quota.setLimits(limitsOf(5, 5));
    int admitted = 0;
    for (int step = 0; step < 1000; ++step) {
        clock.advance(Milliseconds(1));
        admitted += quota.throttle(organisation) ? 0 : 1;
    }
    BOOST_TEST(admitted <= 11);
    BOOST_TEST(admitted >= 9);
}

// Guards against a burst of debt for old use: an instance that missed messages counts the recent requests only.
BOOST_AUTO_TEST_CASE(oldUseOfOthersIsNotCharged)
{
    ManualClock clock;
    OrganisationQuota quota(clock);
    quota.setLimits(limitsOf(10, 100));
    clock.advance(std::chrono::seconds(20));
    quota.recordRemoteUsage(InstanceId("other"), 1, { { organisation, 5000, 40 } }, true);
    int admitted = 0;
    while (!quota.throttle(organisation)) {
        ++admitted;
    }
    BOOST_TEST(admitted == 60);
    BOOST_TEST(quota.recentUsage().at(0).recentlyAdmitted == 60U);
    clock.advance(std::chrono::seconds(7));
    quota.recentUsage();
    clock.advance(std::chrono::seconds(4));
    BOOST_TEST(quota.recentUsage().empty());
}

// Guards against limits where none is set.
BOOST_AUTO_TEST_CASE(noRateMeansNoLimit)
{
    ManualClock clock;
    OrganisationQuota quota(clock);
    quota.setLimits(limitsOf(0, 0));
    for (int sent = 0; sent < 1000; ++sent) {
        BOOST_TEST(!quota.throttle(organisation));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
