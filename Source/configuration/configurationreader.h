#pragma once

#include "configuration/configurationstore.h"
#include "configuration/freshness.h"
#include "configuration/platformreader.h"
#include "core/random.h"

#include <array>
#include <functional>
#include <mutex>

namespace Lycheewall
{

/**
 * Keeps the store at the platform's newest version: one watch per value at a time, and backoff with jitter on errors.
 * Thread safety: any thread. Each value needs one fiber of its own that calls step() in a loop.
 */
class ConfigurationReader
{
public:
    using Sleep = std::function<void(Duration)>;

    /// All references must outlive the reader. @p sleep blocks the calling fiber; it may return early at shutdown.
    ConfigurationReader(PlatformReader &platform,
                        ConfigurationStore &store,
                        Freshness &freshness,
                        const Clock &clock,
                        Random &random,
                        Counters &counters,
                        Sleep sleep);

    /// Makes one call, offers its value to the store, and sleeps before it returns when the next call must wait.
    /// When another step for the same value is running, it makes no call.
    void step(ValueName name);

    /// Makes one read, and no watch, when neither the platform was read within the last second nor a majority of peers
    /// was heard. A waiting watch gives no evidence of freshness for up to 10 s, so an instance that hears no peers
    /// calls this each 500 ms beside the watches. Makes at most one call per second for each value; does not sleep.
    void pollWhenAlone(ValueName name);

private:
    struct Progress
    {
        bool running = false;
        unsigned failures = 0;
        /// Highest version that the platform offered and the store refused as invalid.
        ValueVersion refused;
        std::optional<TimePoint> lastPoll;
    };

    /// What follows from an answer.
    enum class Outcome { News, NoNews, Stale, Failed };

    bool enter(ValueName name);
    void leave(ValueName name);
    ValueVersion newestSeen(ValueName name) const;
    Result<VersionedValue> call(ValueName name, ValueVersion after);
    /// @p held is how long the platform may have held the call open.
    Outcome
    take(ValueName name, const Result<VersionedValue> &answer, ValueVersion after, TimePoint asked, Duration held);
    Duration backoff(ValueName name);
    Duration pause(ValueName name, Outcome outcome, TimePoint asked);

    PlatformReader &platform;
    ConfigurationStore &store;
    Freshness &freshness;
    const Clock &clock;
    Random &random;
    Counters &counters;
    Sleep sleep;
    mutable std::mutex mutex;
    std::array<Progress, 2> progress;
};

}
