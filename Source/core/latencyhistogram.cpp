#include "core/latencyhistogram.h"

#include <algorithm>
#include <sstream>

namespace Lycheewall
{

void LatencyHistogram::record(Duration duration)
{
    const auto milliseconds = fractionalMilliseconds(duration);
    const auto bucket = std::lower_bound(boundsMs.begin(), boundsMs.end(), milliseconds) - boundsMs.begin();
    this->counts.at(static_cast<std::size_t>(bucket)).fetch_add(1, std::memory_order_relaxed);
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    this->sumMicroseconds.fetch_add(static_cast<std::uint64_t>(microseconds), std::memory_order_relaxed);
}

std::string LatencyHistogram::exposition(const std::string &name) const
{
    std::ostringstream text;
    text << "# TYPE " << name << " histogram\n";
    std::uint64_t total = 0;
    for (std::size_t bucket = 0; bucket < boundsMs.size(); ++bucket) {
        total += this->counts.at(bucket).load(std::memory_order_relaxed);
        text << name << "_bucket{le=\"" << boundsMs.at(bucket) << "\"} " << total << '\n';
    }
    total += this->counts.back().load(std::memory_order_relaxed);
    text << name << "_bucket{le=\"+Inf\"} " << total << '\n';
    text << name << "_sum " << static_cast<double>(this->sumMicroseconds.load(std::memory_order_relaxed)) / 1000
         << '\n';
    text << name << "_count " << total << '\n';
    return text.str();
}

}
