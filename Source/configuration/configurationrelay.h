#pragma once

#include "configuration/configurationstore.h"
#include "peer/codec/peertransport.h"

#include <array>

namespace Lycheewall
{

/**
 * Passes accepted values between peers, so that an instance learns of a change that the platform did not tell it.
 * Thread safety: any thread.
 */
class ConfigurationRelay
{
public:
    /// No value is asked for again within this time; a value of 1 MB takes a moment to arrive and to parse.
    static constexpr Duration askAgainAfter = Milliseconds(300);

    /// All references must outlive the relay.
    ConfigurationRelay(ConfigurationStore &configurationStore,
                       PeerTransport &peerTransport,
                       const Clock &timeSource,
                       Counters &counterRegistry);

    /// Asks the peer for each value that it has in a higher version.
    void handle(const InstanceId &from, const Gossip &gossip);

    /// Sends the value in force when it is newer than what the peer has.
    void handle(const InstanceId &from, const ConfigurationRequest &request);

    /// Offers a value to the store. Parses it, which takes long for large values: call it where that may block.
    void handle(const InstanceId &from, const ConfigurationValue &value);

private:
    void askIfNewer(const InstanceId &peer, ValueName name, ValueVersion announced);

    ConfigurationStore &store;
    PeerTransport &transport;
    const Clock &clock;
    Counters &counters;
    std::mutex mutex;
    std::array<TimePoint, 2> askedAt {};
};

}
