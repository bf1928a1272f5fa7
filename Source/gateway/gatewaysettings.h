#pragma once

#include "feed/feedreader.h"
#include "forwarding/fleetretrybudget.h"
#include "forwarding/forwarder.h"

#include <string>
#include <vector>

namespace Lycheewall
{

/// What one instance needs to know before it starts.
struct GatewaySettings
{
    InstanceId instance;
    ZoneId zone;
    /// Where callers send requests.
    std::string callerAddress;
    /// Where readiness is asked for; empty: nowhere.
    std::string readinessAddress;
    /// Where callers ask for addresses; empty: nowhere.
    std::string directoryAddress;
    /// Where other instances send datagrams and read the feed.
    std::string peerAddress;
    /// Where counters are read; empty: nowhere.
    std::string metricsAddress;
    /// Peer addresses of instances that are asked at the start.
    std::vector<std::string> seeds;
    /// Processor time that this process may use, in cores.
    double processorCores = 1;
    FleetRetryLimits retryLimits;
    ForwarderSettings forwarding;
    FeedReaderSettings feed;
    /// How long callers may keep the addresses that they got.
    Duration addressTtl = std::chrono::seconds(1);
    /// How long a leaving instance serves before it closes idle connections.
    Duration shutdownServingTime = Milliseconds(3300);
    /// When a leaving instance ends even if requests are under way.
    Duration shutdownTimeout = Milliseconds(5600);
};

}
