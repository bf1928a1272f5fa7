#pragma once

#include "fleet/gossip.h"
#include "forwarding/forwarder.h"
#include "forwarding/relaymessage.h"

#include <map>

namespace Lycheewall
{

/**
 * Handles relay requests of other instances: sends the shard requests as for a request of its own caller, merges the
 * shard responses and sends them back. If some are still missing when a hedge is due, a first response is sent with the
 * others. It is sent even if it is empty, so that the requesting instance does not take slow shards for an instance
 * that does not respond. The requesting instance makes the last attempt, so that both instances together stay within
 * the attempts that the route allows.
 * Thread safety: none; used on the thread of the request loop.
 */
class RelayServer
{
public:
    RelayServer(ForwardingContext &context, const Forwarder &forwarder, DatagramSender &sender);

    /// Handles a relay request. @p bytes is the datagram without its kind.
    void handleRequest(const std::string &bytes);

    /// Handles the cancellation of a relay request. @p bytes is the datagram without its kind.
    void handleCancel(const std::string &bytes);

private:
    class RelayedQuery;

    void sendRefusal(const RelayRequest &relayRequest);
    void removeFinished();

    ForwardingContext &context;
    const Forwarder &forwarder;
    DatagramSender &sender;
    /// Queries by reply address and id of the relay request.
    std::map<std::pair<std::string, std::uint64_t>, std::weak_ptr<RelayedQuery>> queries;
};

}
