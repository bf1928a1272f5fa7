#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <cstdint>
#include <string>

namespace Lycheewall
{

struct PeerSettings
{
    InstanceId self;
    Incarnation incarnation;
    ZoneId zone;
    /// Where callers connect, "ip:port"; told to peers in the handshake.
    std::string callerAddress;
    /// Where peers connect, "ip:port". Port 0 takes a free port, see PeerNetwork::port().
    std::string listenAddress;
    Duration pingEvery = std::chrono::seconds(1);
    /// A link without any traffic for this long is closed; also the bound of a handshake.
    Duration answerBound = std::chrono::seconds(3);
    /// Outgoing bytes that may wait on one link. One batch of frames that is being written comes on top.
    std::size_t queueBytes = std::size_t(8) * 1024 * 1024;
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration longestBackoff = std::chrono::seconds(1);
    /// Seed of the backoff jitter and the frame masks.
    std::uint64_t seed = 1;
};

/// A daemon to keep a link with.
struct PeerAddress
{
    InstanceId instance;
    /// "ip:port"
    std::string address;
};

}
