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
 * Asks other instances to collect parts, by datagrams. A lost datagram looks like an instance that does not answer.
 * Thread safety: none; used on the thread of the request loop.
 */
class RelayClient : public ShardRelay
{
public:
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

    std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> &services) override;
    std::unique_ptr<PendingRelay>
    send(const RelayTarget &target, const AdmittedRequest &request, ResponseCallback answered) override;
    void handleTimeout(const InstanceId &instance) override;

    /// Takes an answer that arrived; @p bytes without the kind of the datagram.
    void handleResponse(const std::string &bytes);

private:
    class Wait;

    std::optional<InstanceInfo> instanceIn(const ZoneId &zone) const;

    Context context;
    std::string replyAddress;
    ZoneId zone;
    std::uint64_t nextId;
    std::map<std::uint64_t, ResponseCallback> waiting;
    std::map<InstanceId, TimePoint> avoidedUntil;
};

}
