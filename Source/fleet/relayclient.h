#pragma once

#include "core/counters.h"
#include "core/random.h"
#include "fleet/activeinstanceset.h"
#include "fleet/gossip.h"
#include "forwarding/forwardingcontext.h"
#include "forwarding/shardrelay.h"

#include <map>

namespace Lycheewall
{

/**
 * Sends relay requests to other instances as datagrams. A lost datagram is indistinguishable from an instance that does
 * not respond. The client must outlive the PendingRelay objects that send() returns.
 * Thread safety: none; used on the thread of the request loop.
 */
class RelayClient : public ShardRelay
{
public:
    /// The references must outlive the client.
    struct Context
    {
        const Clock &clock;
        Counters &counters;
        Random &random;
        DatagramSender &sender;
        ActiveInstanceSet &activeInstances;
        const EndpointSet &endpoints;
    };

    /// @p replyAddress is this instance's peer address.
    RelayClient(const Context &context, std::string replyAddress, ZoneId ownZone);

    std::optional<RelayZone> findZone(const std::vector<ServiceId> &services) const override;
    std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> &services) override;
    std::unique_ptr<PendingRelay>
    send(const RelayTarget &target, const AdmittedRequest &request, ResponseCallback onResponse) override;
    void handleTimeout(const InstanceId &instance) override;

    /// Handles a relay response. @p bytes is the datagram without its kind.
    void handleResponse(const std::string &bytes);

private:
    class PendingRequest;

    /// A zone, its usable instances, and the services that they reach.
    struct Candidates
    {
        ZoneId zone;
        /// Not empty.
        std::vector<InstanceInfo> instances;
        std::vector<ServiceId> services;
    };

    /// The candidates that reach the most of @p services; std::nullopt if there are none.
    std::optional<Candidates> findCandidates(const std::vector<ServiceId> &services) const;
    /// Instances of the zone that have not failed to respond recently.
    std::vector<InstanceInfo> usableInstances(const ZoneId &zone) const;

    Context context;
    std::string replyAddress;
    ZoneId zone;
    std::uint64_t nextRequestId;
    std::map<std::uint64_t, ResponseCallback> pendingCallbacks;
    std::map<InstanceId, TimePoint> backoffUntil;
};

}
