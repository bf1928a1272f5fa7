#pragma once

#include "fleet/gossip.h"
#include "forwarding/forwarder.h"
#include "forwarding/relaymessage.h"

#include <deque>
#include <map>

namespace Lycheewall
{

/**
 * Handles relay requests of other instances: sends the shard requests as for a request of its own caller, merges the
 * shard responses and sends them back. If some are still missing when a hedge is due, a first response is sent with the
 * others. It is sent even if it is empty, so that the requesting instance does not take slow shards for an instance
 * that does not respond. The requesting instance makes the last attempt, so that both instances together stay within
 * the attempts that the route allows. For the same reason a datagram that the network delivers twice is handled once.
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

    /// Number of valid relay requests since the start, without duplicates.
    std::uint64_t requestsReceived() const;

    /// Number of recent relay requests that are remembered to recognise duplicates.
    std::size_t rememberedRequests() const;

private:
    class RelayedQuery;
    /// Reply address and id of a relay request.
    using RequestKey = std::pair<std::string, std::uint64_t>;
    struct ReceivedRequest
    {
        TimePoint receivedAt;
        /// Expired once the query has ended, or if the cancellation arrived before the request.
        std::weak_ptr<RelayedQuery> query;
    };

    void sendRefusal(const RelayRequest &relayRequest);
    /// Returns false if the request was received or cancelled before.
    bool remember(const RequestKey &key);
    void forgetOldRequests();

    ForwardingContext &context;
    const Forwarder &forwarder;
    DatagramSender &sender;
    std::uint64_t received = 0;
    std::map<RequestKey, ReceivedRequest> receivedRequests;
    /// Keys of receivedRequests, the oldest first.
    std::deque<RequestKey> arrivalOrder;
};

}
