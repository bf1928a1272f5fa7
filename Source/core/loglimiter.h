#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lycheewall
{

/**
 * Decides which repeats of a message are written.
 * Thread safety: none; the owner locks.
 */
class LogLimiter
{
public:
    /// Nothing when the message was written less than a second ago, else the number of repeats left out since then.
    std::optional<std::uint64_t> admit(const std::string &message, TimePoint now);

private:
    struct Entry
    {
        TimePoint written;
        std::uint64_t suppressed = 0;
    };

    void makeRoom(TimePoint now);

    std::unordered_map<std::string, Entry> entries;
};

}
