#pragma once

#include "core/strongid.h"

#include <cstddef>

namespace Lycheewall
{

/// The connections of this instance to one endpoint.
struct ConnectionUsage
{
    /// All connections, including those that are being established.
    std::size_t open = 0;
    std::size_t idle = 0;
    /// Requests that wait for a connection.
    std::size_t waitingRequests = 0;

    /// True if a request can be sent at once, over an idle or a new connection.
    bool hasRoom(std::size_t connectionLimit) const
    {
        return this->idle > 0 || this->open < connectionLimit;
    }
};

/**
 * Tells which connections to an endpoint are in use.
 * Thread safety: none; used on the thread of the request loop.
 */
class ConnectionUsageSource
{
public:
    virtual ~ConnectionUsageSource() = default;

    virtual ConnectionUsage usageOf(const EndpointId &endpoint) const = 0;
};

}
