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
constexpr double allowedExcess = 0.25;
constexpr double tolerance = 20;

std::map<OrganisationId, OrganisationSpec> limitsOf(double perSecond, double burstSize)
{
    OrganisationSpec spec;
    spec.id = organisation;
    spec.ratePerSecond = perSecond;
    spec.burst = burstSize;
    return { { organisation, spec } };
}

struct Scenario
{
    std::size_t instances = 8;
    double requestsPerSecond = 50;
    Duration gossipInterval = Milliseconds(100);
    /// Number of instances that neither send nor receive gossip between 5 and 15 s.
    std::size_t partitionedInstances = 0;
    /// Number of instances that restart at 8 s.
    std::size_t restartedInstances = 0;
    double seconds = 20;
};

struct Outcome
{
    std::size_t requested = 0;
    std::size_t admitted = 0;
    double maxWindowUtilisation = 0;
};

/// Simulates instances that report their usage to each other, under the load of one organisation.
class Fleet
{
public:
    explicit Fleet(const Scenario &fleetScenario)
        : scenario(fleetScenario)
        , engine(5)
    {
        for (std::size_t index = 0; index < this->scenario.instances; ++index) {
            this->quotas.push_back(this->createQuota());
            this->incarnations.push_back(index + 1);
        }
    }

    Outcome run()
    {
        const TimePoint start = this->clock.now();
        std::exponential_distribution<double> interval(this->scenario.requestsPerSecond);
        double nextArrival = interval(this->engine);
        TimePoint nextGossip = start;
        std::vector<double> admittedAt;
        Outcome outcome;
        bool isPartitioned = false;
        bool hasRestarted = false;
        for (double now = 0; now < this->scenario.seconds; now = this->elapsedSeconds(start)) {
            this->clock.advance(Milliseconds(1));
            const bool shouldBePartitioned = this->scenario.partitionedInstances > 0 && now > 5 && now < 15;
            if (shouldBePartitioned != isPartitioned) {
                isPartitioned = shouldBePartitioned;
                this->setPartitioned(isPartitioned);
            }
            if (now > 8 && !hasRestarted) {
                hasRestarted = true;
                this->restart();
            }
            if (this->clock.now() >= nextGossip) {
                nextGossip = this->clock.now() + this->scenario.gossipInterval;
                this->gossipUsage(isPartitioned);
            }
            while (nextArrival < now) {
                nextArrival += interval(this->engine);
                ++outcome.requested;
                if (!this->quotas[this->engine() % this->scenario.instances]->throttle(organisation)) {
                    ++outcome.admitted;
                    admittedAt.push_back(now);
                }
            }
        }
        outcome.maxWindowUtilisation = maxUtilisation(admittedAt);
        return outcome;
    }

private:
    std::unique_ptr<OrganisationQuota> createQuota()
    {
        auto quota = std::make_unique<OrganisationQuota>(this->clock);
        quota->setLimits(limitsOf(rate, burst));
        quota->setInstanceCounts(this->scenario.instances, this->scenario.instances);
        return quota;
    }

    void setPartitioned(bool isPartitioned)
    {
        for (std::size_t index = 0; index < this->scenario.instances; ++index) {
            const bool isIsolated = index < this->scenario.partitionedInstances;
            const std::size_t liveCount = !isPartitioned ? this->scenario.instances
                : isIsolated                             ? 1
                             : this->scenario.instances - this->scenario.partitionedInstances;
            this->quotas[index]->setInstanceCounts(liveCount, this->scenario.instances);
            for (std::size_t other = 0; isPartitioned && other < this->scenario.instances; ++other) {
                if (isIsolated || other < this->scenario.partitionedInstances) {
                    this->quotas[index]->markUnreachable(InstanceId(std::to_string(other)));
                }
            }
        }
    }

    void restart()
    {
        for (std::size_t index = 0; index < this->scenario.restartedInstances; ++index) {
            this->quotas[index] = this->createQuota();
            this->incarnations[index] += 1000;
        }
    }

    void gossipUsage(bool isPartitioned)
    {
        for (std::size_t from = 0; from < this->scenario.instances; ++from) {
            for (std::size_t to = 0; to < this->scenario.instances; ++to) {
                if (from != to
                    && !(isPartitioned
                         && (from < this->scenario.partitionedInstances || to < this->scenario.partitionedInstances))) {
                    this->quotas[to]->recordRemoteUsage(InstanceId(std::to_string(from)),
                                                        this->incarnations[from],
                                                        this->quotas[from]->recentUsage(),
                                                        true);
                }
            }
        }
    }

    double elapsedSeconds(TimePoint start) const
    {
        return fractionalSeconds(this->clock.now() - start);
    }

    static double maxUtilisation(const std::vector<double> &admittedAt)
    {
        double highestCount = 0;
        std::size_t begin = 0;
        for (std::size_t end = 0; end < admittedAt.size(); ++end) {
            while (admittedAt[end] - admittedAt[begin] > windowSeconds) {
                ++begin;
            }
            highestCount = std::max(highestCount, static_cast<double>(end - begin + 1));
        }
        return highestCount / ((rate * windowSeconds + burst) * (1 + allowedExcess) + tolerance);
    }

    Scenario scenario;
    ManualClock clock;
    std::mt19937_64 engine;
    std::vector<std::unique_ptr<OrganisationQuota>> quotas;
    std::vector<std::uint64_t> incarnations;
};

}

// Guards against refused requests of an organisation that stays below its rate.
BOOST_AUTO_TEST_CASE(admitsAllRequestsWithinRate)
{
    const Outcome outcome = Fleet(Scenario()).run();
    BOOST_TEST(outcome.admitted == outcome.requested);
}

// Guards against an organisation that exceeds its limit by sending requests to several instances, and against
// enforcement that admits less than its rate.
BOOST_AUTO_TEST_CASE(overloadIsLimitedToRate)
{
    Scenario scenario;
    scenario.requestsPerSecond = 400;
    const Outcome outcome = Fleet(scenario).run();
    BOOST_TEST(outcome.maxWindowUtilisation <= 1);
    BOOST_TEST(static_cast<double>(outcome.admitted) >= 0.95 * rate * scenario.seconds);
}

// Guards against an exceeded limit while the usage of the other instances is reported late.
BOOST_AUTO_TEST_CASE(limitHoldsWhileUsageIsReportedLate)
{
    Scenario scenario;
    scenario.requestsPerSecond = 400;
    scenario.gossipInterval = Milliseconds(500);
    BOOST_TEST(Fleet(scenario).run().maxWindowUtilisation <= 1);
}

// Guards against an exceeded limit while a network partition separates instances, and against many refusals below the
// rate meanwhile.
BOOST_AUTO_TEST_CASE(limitHoldsDuringPartition)
{
    Scenario scenario;
    scenario.requestsPerSecond = 400;
    scenario.partitionedInstances = 3;
    BOOST_TEST(Fleet(scenario).run().maxWindowUtilisation <= 1);
    scenario.requestsPerSecond = 50;
    const Outcome lowLoad = Fleet(scenario).run();
    BOOST_TEST(static_cast<double>(lowLoad.admitted) >= 0.98 * static_cast<double>(lowLoad.requested));
}

// Guards against a second burst after all instances were killed and restarted.
BOOST_AUTO_TEST_CASE(restartDoesNotGrantSecondBurst)
{
    Scenario scenario;
    scenario.requestsPerSecond = 400;
    scenario.restartedInstances = 8;
    BOOST_TEST(Fleet(scenario).run().maxWindowUtilisation <= 1);
}

// Guards against usage that is counted twice or lost when the limit changes.
BOOST_AUTO_TEST_CASE(lowerLimitTakesEffectImmediately)
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

// Guards against a large deficit caused by old usage: an instance that missed gossip messages deducts only the recent
// requests.
BOOST_AUTO_TEST_CASE(chargesOnlyRecentRemoteUsage)
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

// Guards against refused requests of an organisation without a limit.
BOOST_AUTO_TEST_CASE(zeroRateMeansNoLimit)
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
