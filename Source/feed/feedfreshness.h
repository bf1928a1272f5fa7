#pragma once

#include "core/clock.h"

#include <optional>

namespace Lycheewall
{

/**
 * Upper bound of the age of this instance's feed data.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedFreshness
{
public:
    explicit FeedFreshness(const Clock &clock);

    /// Confirms that all changes up to @p time are known. Times before an earlier confirmation are ignored.
    void confirm(TimePoint time);

    /// Time since the latest confirmed time; Duration::max() before the first confirmation.
    Duration age() const;

    /// Latest time up to which all changes are known; std::nullopt before the first confirmation.
    std::optional<TimePoint> confirmedUntil() const;

private:
    const Clock &clock;
    bool confirmed = false;
    TimePoint latestConfirmed;
};

}
