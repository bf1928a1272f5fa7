#pragma once

#include "fleet/gossip.h"
#include "forwarding/forwarder.h"
#include "forwarding/relaymessage.h"

#include <map>

namespace Lycheewall
{

/**
 * Collects parts for other instances: asks the shards as for an own request and answers with the merged parts. When
 * some are still missing when a second attempt is due, a first answer is sent with the others; the asking instance
 * makes the second attempts, so that both together keep to the attempts that the route allows. Thread safety: none;
 * used on the thread of the request loop.
 */
class RelayServer
{
public:
    RelayServer(ForwardingContext &context, const Forwarder &forwarder, DatagramSender &sender);

    /// Takes a question that arrived; @p bytes without the kind of the datagram.
    void handleRequest(const std::string &bytes);

    /// Takes the cancellation of a question; @p bytes without the kind of the datagram.
    void handleCancel(const std::string &bytes);

private:
    class Collection;

    void refuse(const RelayRequest &question);
    void forgetEnded();

    ForwardingContext &context;
    const Forwarder &forwarder;
    DatagramSender &sender;
    /// By reply address and id of the question.
    std::map<std::pair<std::string, std::uint64_t>, std::weak_ptr<Collection>> collections;
};

}
