#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lycheewall
{

/**
 * Suppresses log messages that repeat within a second.
 * Thread safety: none; the owner must lock.
 */
class LogLimiter
{
public:
    /// std::nullopt if the message was written less than a second ago and is to be suppressed, else the number of
    /// repeats suppressed since it was last written.
    std::optional<std::uint64_t> admit(const std::string &message, TimePoint now);

private:
    struct Entry
    {
        TimePoint lastWritten;
        std::uint64_t suppressed = 0;
    };

    /// Makes room for one entry: removes the expired entries when the limiter is full, and all if none has expired.
    void evictEntries(TimePoint now);

    std::unordered_map<std::string, Entry> entries;
};

}
