#include "configuration/configurationreader.h"
#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Lycheewall;
using namespace std::chrono_literals;

namespace
{

VersionedValue listValue(std::uint64_t version)
{
    return { ValueVersion(version), "instances: {}\n" };
}

/// Answers from a script; a call without an entry fails.
class ScriptedPlatform : public PlatformReader
{
public:
    struct Answer
    {
        Duration takes;
        Result<VersionedValue> value;
    };

    explicit ScriptedPlatform(ManualClock &time)
        : clock(time)
    {
    }
    Result<VersionedValue> read(ValueName) override
    {
        ++this->reads;
        return this->next();
    }
    Result<VersionedValue> watch(ValueName, ValueVersion after, Duration wait) override
    {
        ++this->watches;
        this->lastAfter = after.value();
        this->lastWait = wait;
        return this->next();
    }

    std::deque<Answer> answers;
    int reads = 0;
    int watches = 0;
    std::uint64_t lastAfter = 0;
    Duration lastWait {};
    std::function<void()> during;

private:
    Result<VersionedValue> next()
    {
        if (this->during) {
            this->during();
        }
        if (this->answers.empty()) {
            return failure(std::make_error_code(std::errc::timed_out));
        }
        const Answer answer = this->answers.front();
        this->answers.pop_front();
        this->clock.advanceWithoutTimers(answer.takes);
        return answer.value;
    }

    ManualClock &clock;
};

struct Fixture
{
    ManualClock clock;
    Counters counters;
    Random random { 7 };
    ConfigurationStore store { clock, counters };
    Freshness freshness { clock };
    ScriptedPlatform platform { clock };
    std::vector<Duration> sleeps;
    ConfigurationReader reader { platform, store, freshness, clock, random, counters, [this](Duration time) {
                                    this->sleeps.push_back(time);
                                    this->clock.advanceWithoutTimers(time);
                                } };

    void step()
    {
        this->reader.step(ValueName::Instances);
    }
    std::uint64_t version() const
    {
        return this->store.version(ValueName::Instances).value();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ConfigurationReaderTest, Fixture)

BOOST_AUTO_TEST_CASE(readsFirstThenWatches)
{
    this->platform.answers = { { 5ms, listValue(3) }, { 2s, listValue(4) }, { 10s, listValue(4) } };
    this->step();
    BOOST_TEST(this->platform.reads == 1);
    BOOST_TEST(!this->freshness.cutOff());
    this->step();
    this->step();
    BOOST_TEST(this->platform.watches == 2);
    BOOST_TEST(this->platform.lastAfter == 4U);
    BOOST_TEST((this->platform.lastWait == Duration(10s)));
    BOOST_TEST(this->version() == 4U);
    BOOST_TEST(this->sleeps.empty());
    BOOST_TEST(this->counters.value("lycheewall_platform_calls_total{reason=\"read\"}") == 1U);
    BOOST_TEST(this->counters.value("lycheewall_platform_calls_total{reason=\"watch\"}") == 2U);
}

// Guards against retries that overload a platform that is down, and against backoff that survives a success.
BOOST_AUTO_TEST_CASE(errorsBackOffWithJitter)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        this->step();
    }
    BOOST_REQUIRE(this->sleeps.size() == 200U);
    std::set<Duration> distinct(this->sleeps.begin(), this->sleeps.end());
    BOOST_TEST(distinct.size() > 150U);
    BOOST_TEST((*distinct.begin() >= Duration(100ms)));
    BOOST_TEST((*distinct.rbegin() <= Duration(2s)));
    BOOST_TEST((this->sleeps[0] <= Duration(200ms)));
    BOOST_TEST((this->sleeps[199] >= Duration(1s)));
    BOOST_TEST(this->freshness.cutOff());
    this->platform.answers = { { 1ms, listValue(1) } };
    this->step();
    this->step();
    BOOST_TEST((this->sleeps.back() <= Duration(200ms)));
}

// Guards against a lagging read path that takes the store back, counts as fresh, or is asked in a tight loop.
BOOST_AUTO_TEST_CASE(staleReadPathChangesNothing)
{
    this->platform.answers = { { 1ms, listValue(9) }, { 1ms, listValue(4) }, { 1ms, listValue(4) } };
    this->step();
    this->clock.advanceWithoutTimers(5s);
    this->step();
    this->step();
    BOOST_TEST(this->version() == 9U);
    BOOST_TEST(this->freshness.cutOff());
    BOOST_TEST(this->sleeps.size() == 2U);
    BOOST_TEST((this->sleeps.front() >= Duration(100ms)));
}

// Guards against a refused edit that answers each watch at once.
BOOST_AUTO_TEST_CASE(refusedEditIsNotFetchedAgain)
{
    const VersionedValue bad { ValueVersion(6), "instances: 7" };
    this->platform.answers = { { 1ms, listValue(5) }, { 1ms, bad }, { 10s, bad } };
    this->step();
    this->step();
    this->step();
    BOOST_TEST(this->platform.lastAfter == 6U);
    BOOST_TEST(this->version() == 5U);
    BOOST_TEST(!this->freshness.cutOff());
}

BOOST_AUTO_TEST_CASE(platformThatDoesNotHoldWatchesIsPolledEachSecond)
{
    this->platform.answers = { { 0ms, listValue(5) }, { 200ms, listValue(5) } };
    this->step();
    this->step();
    BOOST_REQUIRE(this->sleeps.size() == 1U);
    BOOST_TEST((this->sleeps.front() == Duration(800ms)));
}

// Guards against an answer that waited in a socket while the process was paused and then counts as fresh.
BOOST_AUTO_TEST_CASE(answerFromBeforeAPauseIsNotFresh)
{
    this->platform.answers = { { 1ms, listValue(5) }, { 40s, listValue(5) } };
    this->step();
    this->step();
    BOOST_TEST(this->freshness.cutOff());
    this->platform.answers = { { 40s, listValue(6) } };
    this->step();
    BOOST_TEST(this->version() == 6U);
    BOOST_TEST(this->freshness.cutOff());
}

// Guards against an instance without peers that is cut off while its own watch waits.
BOOST_AUTO_TEST_CASE(pollsWhenAloneOnly)
{
    this->freshness.setMembers({ InstanceId("a"), InstanceId("b") }, true);
    this->platform.answers = { { 1ms, listValue(5) }, { 1ms, listValue(5) }, { 1ms, listValue(5) } };
    this->reader.pollWhenAlone(ValueName::Instances);
    this->reader.pollWhenAlone(ValueName::Instances);
    BOOST_TEST(this->platform.reads == 1);
    this->clock.advanceWithoutTimers(1100ms);
    this->reader.pollWhenAlone(ValueName::Instances);
    BOOST_TEST(this->platform.reads == 2);
    BOOST_TEST(!this->freshness.cutOff());
    this->freshness.heard(InstanceId("a"));
    this->clock.advanceWithoutTimers(1100ms);
    this->reader.pollWhenAlone(ValueName::Instances);
    BOOST_TEST(this->platform.reads == 2);
    // While the platform is down, a poll that failed is not repeated at once.
    this->platform.answers.clear();
    this->clock.advanceWithoutTimers(5s);
    this->reader.pollWhenAlone(ValueName::Instances);
    this->reader.pollWhenAlone(ValueName::Instances);
    BOOST_TEST(this->platform.reads == 3);
}

BOOST_AUTO_TEST_CASE(secondStepForTheSameValueMakesNoCall)
{
    this->platform.during = [this] {
        this->platform.during = nullptr;
        this->step();
    };
    this->platform.answers = { { 1ms, listValue(5) } };
    this->step();
    BOOST_TEST(this->platform.reads == 1);
    BOOST_TEST(this->version() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
