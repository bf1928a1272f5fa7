#pragma once

#include "core/refusal.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Lycheewall
{

/// A number that only grows. Thread safety: any thread, lock-free.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        this->total.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> total { 0 };
};

/**
 * The counters of one process by name.
 * Thread safety: any thread. References returned stay valid as long as the registry.
 */
class Counters
{
public:
    /// The counter with this name, made on first use. Names have the form "lycheewall_<part>_<what>_total".
    Counter &counter(const std::string &name);

    /// The counter of one labelled reason: name{reason="code"}.
    Counter &counter(const std::string &name, std::string_view reason);

    /// Counts a refusal under "lycheewall_refusals_total".
    void countRefusal(Refusal refusal);

    /// Value by full name including labels; 0 when the counter does not exist.
    std::uint64_t value(const std::string &fullName) const;

    /// All counters, one "name value" line each, in the usual text exposition format.
    std::string exposition() const;

    /// All counters that are not 0, as "name=value" separated by spaces, for a log line.
    std::string summary() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>> entries;
};

}
