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

/// A monotonically increasing counter. Thread safety: any thread, lock-free.
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
 * Registry of the counters of one process, by name.
 * Thread safety: any thread. Returned references stay valid as long as the registry exists.
 */
class Counters
{
public:
    /// The counter with this name, created on first use. Names have the form "lycheewall_<component>_<event>_total".
    Counter &counter(const std::string &name);

    /// The counter with the label reason: name{reason="code"}, created on first use.
    Counter &counter(const std::string &name, std::string_view reason);

    /// Counts a refusal under "lycheewall_refusals_total".
    void countRefusal(Refusal refusal);

    /// Value of the counter with this name, labels included; 0 if it does not exist.
    std::uint64_t value(const std::string &fullName) const;

    /// All counters in the Prometheus text exposition format.
    std::string exposition() const;

    /// All counters that are not 0, as "name=value" pairs separated by spaces, for a log line.
    std::string summary() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>> entries;
};

}
