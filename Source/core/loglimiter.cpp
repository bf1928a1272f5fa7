#include "core/loglimiter.h"

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
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const bool expired = now - entry->second.lastWritten >= suppressionPeriod;
        entry = expired ? this->entries.erase(entry) : std::next(entry);
    }
    if (this->entries.size() >= maxEntries) {
        this->entries.clear();
    }
}

}
