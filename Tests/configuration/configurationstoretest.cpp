#include "configuration/configurationstore.h"
#include "core/manualclock.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Lycheewall;

namespace
{

std::string listText(std::uint64_t version)
{
    return "instances:\n  i" + std::to_string(version)
        + ": { zone: z1, caller-address: \"127.0.0.1:1\", peer-address: \"127.0.0.1:2\" }\n";
}

VersionedValue listValue(std::uint64_t version)
{
    return { ValueVersion(version), listText(version) };
}

VersionedValue badValue(std::uint64_t version)
{
    return { ValueVersion(version), "instances: 7\n" };
}

struct Fixture
{
    ManualClock clock;
    Counters counters;
    ConfigurationStore store { clock, counters };

    Result<void> offer(const VersionedValue &value)
    {
        return this->store.offer(ValueName::Instances, value, "platform");
    }
    std::uint64_t version() const
    {
        return this->store.version(ValueName::Instances).value();
    }
    std::uint64_t count(const std::string &what) const
    {
        return this->counters.value("lycheewall_configuration_" + what + "_total{reason=\"instances\"}");
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ConfigurationStoreTest, Fixture)

BOOST_AUTO_TEST_CASE(acceptsHigherVersionsOnly)
{
    BOOST_TEST(this->store.instances() == nullptr);
    BOOST_TEST(!this->store.value(ValueName::Instances).has_value());
    BOOST_TEST(this->offer(listValue(5)).has_value());
    BOOST_TEST((this->offer(listValue(5)).error() == ConfigurationError::StaleVersion));
    BOOST_TEST((this->offer(listValue(4)).error() == ConfigurationError::StaleVersion));
    BOOST_TEST(this->version() == 5U);
    BOOST_TEST(this->store.instances()->find(InstanceId("i5")) != nullptr);
    BOOST_TEST(this->store.value(ValueName::Instances)->text == listText(5));
    BOOST_TEST(this->store.source(ValueName::Instances) == "platform");
    BOOST_TEST(this->store.version(ValueName::Catalogue).value() == 0U);
    BOOST_TEST(this->count("accepted") == 1U);
    BOOST_TEST(this->count("stale") == 2U);
}

// Guards against a refused edit that replaces the last good version or is parsed with each gossip round.
BOOST_AUTO_TEST_CASE(refusedValueIsRememberedAndChangesNothing)
{
    BOOST_TEST(this->offer(listValue(5)).has_value());
    BOOST_TEST((this->offer(badValue(8)).error() == ConfigurationError::Invalid));
    BOOST_TEST((this->offer(badValue(8)).error() == ConfigurationError::KnownInvalid));
    BOOST_TEST(this->version() == 5U);
    const auto problems = this->store.lastProblems(ValueName::Instances);
    BOOST_REQUIRE(problems.size() == 1U);
    BOOST_TEST(problems.front().message()
               == "platform/instances@8:1: instance list: instances must be a map, got \"7\"");
    BOOST_TEST(this->count("refused") == 1U);
    BOOST_TEST(this->count("refused_again") == 1U);
}

// Guards against an instance that stays behind for good: version 7 is good, but this instance saw the bad 8 first.
BOOST_AUTO_TEST_CASE(versionBelowARefusedOneIsAcceptedOnce)
{
    BOOST_TEST(this->offer(listValue(5)).has_value());
    BOOST_TEST(!this->offer(badValue(8)).has_value());
    BOOST_TEST(this->offer(listValue(7)).has_value());
    BOOST_TEST(this->version() == 7U);
    BOOST_TEST(!this->store.lastProblems(ValueName::Instances).empty());
    // The text of version 8 was damaged on its way; the platform's own text is accepted.
    BOOST_TEST(this->offer(listValue(8)).has_value());
    BOOST_TEST(this->offer(listValue(9)).has_value());
    BOOST_TEST(this->store.lastProblems(ValueName::Instances).empty());
}

BOOST_AUTO_TEST_CASE(subscriberIsCalledAfterAcceptanceUntilItsHandleEnds)
{
    int calls = 0;
    auto subscription = this->store.subscribe([&](ValueName name) {
        ++calls;
        BOOST_TEST((name == ValueName::Instances));
        // Reads and offers from a callback must not deadlock.
        BOOST_TEST(this->version() >= 1U);
        BOOST_TEST(!this->offer(listValue(1)).has_value());
    });
    BOOST_TEST(this->offer(listValue(1)).has_value());
    BOOST_TEST(!this->offer(badValue(2)).has_value());
    BOOST_TEST(calls == 1);
    subscription.reset();
    BOOST_TEST(this->offer(listValue(3)).has_value());
    BOOST_TEST(calls == 1);
}

// Guards against a slow parse of an old version that is installed over a newer one, and against a version, text and
// list that do not belong together.
BOOST_AUTO_TEST_CASE(racingOffersNeverGoBack)
{
    constexpr std::uint64_t versions = 3000;
    constexpr unsigned writers = 4;
    std::atomic<bool> done { false };
    std::atomic<int> faults { 0 };
    std::atomic<std::uint64_t> offeredBest { 0 };
    auto subscription = this->store.subscribe([&](ValueName) {
        // The bound is read first: another thread may raise it between the two reads.
        const std::uint64_t bound = offeredBest;
        faults += this->version() < bound ? 1 : 0;
    });
    std::thread reader([&] {
        std::uint64_t last = 0;
        while (!done) {
            const std::uint64_t now = this->version();
            const auto list = this->store.instances();
            const auto value = this->store.value(ValueName::Instances);
            faults += now < last || (value && value->version.value() < now) ? 1 : 0;
            faults += value && value->text != listText(value->version.value()) ? 1 : 0;
            const std::uint64_t listed = list ? std::stoull(list->instances().front().id.value().substr(1)) : 0;
            faults += listed < now || (value && value->version.value() < listed) ? 1 : 0;
            last = now;
        }
    });
    std::vector<std::thread> threads;
    for (unsigned writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&, writer] {
            for (std::uint64_t step = 1; step <= versions; ++step) {
                // Neighbouring versions are offered by different threads, in local disorder.
                const std::uint64_t version = 1 + ((step ^ writer) % versions);
                if (this->offer(listValue(version))) {
                    const std::uint64_t seen = this->version();
                    faults += seen < version ? 1 : 0;
                    std::uint64_t best = offeredBest;
                    while (best < seen && !offeredBest.compare_exchange_weak(best, seen)) { }
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    done = true;
    reader.join();
    BOOST_TEST(faults == 0);
    BOOST_TEST(this->version() == versions);
    BOOST_TEST(this->store.instances()->find(InstanceId("i" + std::to_string(versions))) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
