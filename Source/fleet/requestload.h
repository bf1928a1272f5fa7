#pragma once

#include <optional>

namespace Lycheewall
{

/**
 * Estimates the CPU usage that requests cause at this instance. The usage of intervals without requests is the cost of
 * control (gossip, feed, checks) and is subtracted: it does not move to other instances when these become active.
 * Thread safety: none; used on the thread of the request loop.
 */
class RequestLoad
{
public:
    /// Adds an interval in which the process used @p coresUsed cores. @p hadRequests tells whether it worked on
    /// requests of callers or of other instances.
    void addInterval(double coresUsed, bool hadRequests);

    /// Exponential moving average of the usage that requests cause, in cores.
    double cores() const;

    /// Estimated cost of control, in cores; 0 until there was an interval without requests.
    double controlCores() const;

private:
    std::optional<double> control;
    double mean = 0;
};

}
