#pragma once

#include "feed/feedreader.h"
#include "forwarding/fleetretrybudget.h"
#include "forwarding/forwarder.h"

#include <string>
#include <vector>

namespace Lycheewall
{

/// The settings of one instance. Addresses have the form "ip:port".
struct GatewaySettings
{
    InstanceId instance;
    ZoneId zone;
    /// Listen address for requests of callers. Gossip messages report it to the other instances.
    std::string callerAddress;
    /// Listen address for readiness checks; empty if they are not served.
    std::string readinessAddress;
    /// Listen address for discovery requests of callers; empty if they are not served.
    std::string directoryAddress;
    /// Listen address for other instances: datagrams (UDP) and the feed (HTTP). Gossip messages report it.
    std::string peerAddress;
    /// Listen address for metrics; empty if they are not served.
    std::string metricsAddress;
    /// Peer addresses of the instances that this instance contacts at the start to join the fleet.
    std::vector<std::string> seeds;
    /// CPU capacity that this process may use, in cores.
    double cpuCores = 1;
    /// Memory and descriptors that this process may use. They bound the connections that it accepts; see
    /// ConnectionLimits.
    std::size_t memoryLimitBytes = std::size_t { 256 } * 1024 * 1024;
    std::size_t maxDescriptors = 4096;
    FleetRetryLimits retryLimits;
    ForwarderSettings forwarding;
    FeedReaderSettings feed;
    /// How long callers may cache the addresses of a discovery response.
    Duration addressTtl = std::chrono::seconds(1);
    /// How long an instance that shuts down accepts requests before it closes the listening socket and idle
    /// connections.
    Duration shutdownServingTime = Milliseconds(3300);
    /// Time from the start of the shutdown after which the process ends even if requests are in flight.
    Duration shutdownTimeout = Milliseconds(5600);
};

}
