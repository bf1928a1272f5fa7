#pragma once

#include "configuration/platformreader.h"
#include "core/clock.h"
#include "core/counters.h"
#include "runtime/worker.h"

#include <memory>
#include <string>
#include <vector>

namespace Lycheewall
{

/// What is remembered of one address of the platform.
struct PlatformPath
{
    /// "ip:port"
    std::string address;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    /// Answers with a version below one that was seen before.
    std::uint64_t backwards = 0;
    /// Smoothed time of an answer, without the time that a watch waits; zero before the first answer.
    Duration answerTime {};
    /// Until then the other paths come first.
    TimePoint avoidedUntil {};
};

struct PlatformClientSettings
{
    /// "ip:port" of each read path.
    std::vector<std::string> addresses;
    /// Time allowed for an answer above the wait.
    Duration answerBound = std::chrono::seconds(1);
    /// How long a path is avoided after a failure or an answer that went backwards.
    Duration avoidFor = std::chrono::seconds(10);
};

/**
 * Reads values over HTTP; see section 8 of the design. A call tries each path once, the best one first.
 * Thread safety: any thread; calls block the calling fiber, or the thread when it runs no fibers.
 * Precondition: the worker, the clock and the counters outlive the client, and no call runs when it is destroyed.
 */
class PlatformClient : public PlatformReader
{
public:
    PlatformClient(Worker &worker, const Clock &clock, Counters &counters, PlatformClientSettings settings);
    ~PlatformClient() override;

    /// Errors: PlatformClientError of the last path tried.
    Result<VersionedValue> read(ValueName name) override;
    Result<VersionedValue> watch(ValueName name, ValueVersion after, Duration wait) override;

    /// The paths in the order of the settings.
    std::vector<PlatformPath> paths() const;

private:
    class Core;
    std::shared_ptr<Core> core;
};

}
