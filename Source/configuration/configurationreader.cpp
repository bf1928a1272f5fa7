#include "configuration/configurationreader.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

using namespace std::chrono_literals;

/// A waiting watch counts as one call at the platform, so a long wait is cheap.
constexpr Duration watchWait = 10s;
/// Least time between two calls that bring nothing new, for a platform that does not hold a watch open.
constexpr Duration pollInterval = 1s;
constexpr Duration firstBackoff = 200ms;
constexpr Duration greatestBackoff = 2s;

std::size_t indexOf(ValueName name)
{
    return name == ValueName::Catalogue ? 0 : 1;
}

}

ConfigurationReader::ConfigurationReader(PlatformReader &reader,
                                         ConfigurationStore &target,
                                         Freshness &evidence,
                                         const Clock &timeSource,
                                         Random &randomSource,
                                         Counters &registry,
                                         Sleep sleepFunction)
    : platform(reader)
    , store(target)
    , freshness(evidence)
    , clock(timeSource)
    , random(randomSource)
    , counters(registry)
    , sleep(std::move(sleepFunction))
{
}

void ConfigurationReader::step(ValueName name)
{
    if (!this->enter(name)) {
        this->sleep(pollInterval);
        return;
    }
    const ValueVersion after = this->newestSeen(name);
    const TimePoint asked = this->clock.now();
    const Result<VersionedValue> answer = this->call(name, after);
    const bool watched = after != ValueVersion();
    const Outcome outcome = this->take(name, answer, after, asked, watched ? watchWait : Duration::zero());
    const Duration wait = this->pause(name, outcome, asked);
    if (wait > Duration::zero()) {
        this->sleep(wait);
    }
    this->leave(name);
}

void ConfigurationReader::pollWhenAlone(ValueName name)
{
    if (this->freshness.majorityHeard() || this->freshness.platformAge() < pollInterval) {
        return;
    }
    const TimePoint asked = this->clock.now();
    {
        const std::lock_guard lock(this->mutex);
        auto &lastPoll = this->progress.at(indexOf(name)).lastPoll;
        if (lastPoll && asked - *lastPoll < pollInterval) {
            return;
        }
        lastPoll = asked;
    }
    const ValueVersion after = this->newestSeen(name);
    this->counters.counter("lycheewall_platform_calls_total", "poll").add();
    this->take(name, this->platform.read(name), after, asked, Duration::zero());
}

bool ConfigurationReader::enter(ValueName name)
{
    const std::lock_guard lock(this->mutex);
    return !std::exchange(this->progress.at(indexOf(name)).running, true);
}

void ConfigurationReader::leave(ValueName name)
{
    const std::lock_guard lock(this->mutex);
    this->progress.at(indexOf(name)).running = false;
}

/// Watching after a refused version, rather than the one in force, keeps a refused edit from answering each watch at
/// once.
ValueVersion ConfigurationReader::newestSeen(ValueName name) const
{
    const ValueVersion inForce = this->store.version(name);
    const std::lock_guard lock(this->mutex);
    return std::max(inForce, this->progress.at(indexOf(name)).refused);
}

Result<VersionedValue> ConfigurationReader::call(ValueName name, ValueVersion after)
{
    if (after == ValueVersion()) {
        this->counters.counter("lycheewall_platform_calls_total", "read").add();
        return this->platform.read(name);
    }
    this->counters.counter("lycheewall_platform_calls_total", "watch").add();
    return this->platform.watch(name, after, watchWait);
}

ConfigurationReader::Outcome ConfigurationReader::take(
    ValueName name, const Result<VersionedValue> &answer, ValueVersion after, TimePoint asked, Duration held)
{
    if (!answer) {
        this->counters.counter("lycheewall_platform_errors_total", valueNameText(name)).add();
        return Outcome::Failed;
    }
    const VersionedValue &value = answer.value();
    const ValueVersion inForce = this->store.version(name);
    if (value.version < after || value.version < inForce) {
        // A read path that lags behind is no evidence that this instance learns of changes.
        this->counters.counter("lycheewall_platform_stale_total", valueNameText(name)).add();
        // The store may still lack this version when the newer one was refused.
        const bool accepted = inForce < value.version && this->store.offer(name, value, "platform");
        return accepted ? Outcome::News : Outcome::Stale;
    }
    if (value.version == after) {
        // The platform answers an unchanged watch when its wait ends, and the process may have been paused since.
        this->freshness.platformRead(std::min(this->clock.now(), asked + held));
        return Outcome::NoNews;
    }
    this->freshness.platformRead(asked);
    const auto accepted = this->store.offer(name, value, "platform");
    if (!accepted && accepted.error() != ConfigurationError::StaleVersion) {
        const std::lock_guard lock(this->mutex);
        ValueVersion &refused = this->progress.at(indexOf(name)).refused;
        refused = std::max(refused, value.version);
    }
    return Outcome::News;
}

Duration ConfigurationReader::backoff(ValueName name)
{
    unsigned failures = 0;
    {
        const std::lock_guard lock(this->mutex);
        failures = this->progress.at(indexOf(name)).failures++;
    }
    Duration greatest = firstBackoff;
    for (unsigned doubled = 0; doubled < failures && greatest < greatestBackoff; ++doubled) {
        greatest *= 2;
    }
    greatest = std::min(greatest, greatestBackoff);
    // Instances that lost the platform at the same moment must not return at the same moment.
    const double share = 0.5 + this->random.uniformReal() / 2;
    return std::chrono::duration_cast<Duration>(greatest * share);
}

/// Time to wait after an answer. News is followed by the next watch at once.
Duration ConfigurationReader::pause(ValueName name, Outcome outcome, TimePoint asked)
{
    if (outcome == Outcome::Failed || outcome == Outcome::Stale) {
        return this->backoff(name);
    }
    {
        const std::lock_guard lock(this->mutex);
        this->progress.at(indexOf(name)).failures = 0;
    }
    if (outcome == Outcome::News) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), pollInterval - (this->clock.now() - asked));
}

}
