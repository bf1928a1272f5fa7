#include "core/loglimiter.h"

#include "core/erasevaluesif.h"

namespace Lycheewall
{

namespace
{

constexpr std::chrono::seconds suppressionPeriod(1);
/// Distinct messages that one limiter remembers.
constexpr std::size_t maxEntries = 256;

}

std::optional<std::uint64_t> LogLimiter::admit(const std::string &message, TimePoint now)
{
    const auto known = this->entries.find(message);
    if (known == this->entries.end()) {
        this->evictEntries(now);
        this->entries.emplace(message, Entry { now, 0 });
        return 0;
    }
    Entry &entry = known->second;
    if (now - entry.lastWritten < suppressionPeriod) {
        ++entry.suppressed;
        return std::nullopt;
    }
    const std::uint64_t suppressed = entry.suppressed;
    entry = Entry { now, 0 };
    return suppressed;
}

void LogLimiter::evictEntries(TimePoint now)
{
    if (this->entries.size() < maxEntries) {
        return;
    }
    eraseValuesIf(this->entries, [now](const auto &entry) { return now - entry.lastWritten >= suppressionPeriod; });
    if (this->entries.size() >= maxEntries) {
        this->entries.clear();
    }
}

}
