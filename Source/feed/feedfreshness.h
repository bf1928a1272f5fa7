#pragma once

#include "core/clock.h"

#include <optional>

namespace Lycheewall
{

/**
 * How old this instance's knowledge of the platform's data is, at most.
 * Thread safety: none; used on the thread of the request loop.
 */
class FeedFreshness
{
public:
    explicit FeedFreshness(const Clock &clock);

    /// All changes up to @p moment are known. Earlier moments than before are ignored.
    void confirm(TimePoint moment);

    /// Duration::max() before the first confirmation.
    Duration age() const;

    /// Latest moment up to which all changes are known; nothing before the first confirmation.
    std::optional<TimePoint> confirmedUntil() const;

private:
    const Clock &clock;
    bool confirmed = false;
    TimePoint latest;
};

}
