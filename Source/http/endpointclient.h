#pragma once

#include "core/clock.h"
#include "core/counters.h"
#include "runtime/worker.h"
#include "scheduling/endpointtransport.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Lycheewall
{

struct EndpointClientSettings
{
    /// Longest time to establish a connection, besides the deadline of the attempt.
    Duration connectBound = std::chrono::seconds(1);
    /// A request that must not be repeated uses only connections that answered this recently, or new ones.
    Duration provenFor = std::chrono::milliseconds(500);
    /// Idle connections are closed after this long.
    Duration idleFor = std::chrono::seconds(60);
    /// Time bound of a cancel request.
    Duration cancelBound = std::chrono::seconds(1);
    /// Attempts in a row that hit their time bound before all idle connections of the endpoint are closed.
    int silentAfter = 2;
    /// Bound on the header and on the body of an answer, in bytes.
    std::uint32_t answerBytes = 4 * 1024 * 1024;
};

/**
 * Sends attempts over pooled, kept-alive HTTP connections; see section 8 of the design for the protocol. Each attempt
 * is a fiber on the worker of its connection. EndpointAnswer::body is the JSON text of "result".
 *
 * The budget of a request counts all connections of this process to the endpoint: idle, busy and connecting ones.
 * Thread safety: all methods may be called from any thread. Callbacks run in a fiber of a worker and may start further
 * attempts. Precondition: workers, clock and counters outlive the client.
 */
class EndpointClient : public EndpointTransport
{
public:
    /// Precondition: @p workers is not empty.
    EndpointClient(std::vector<Worker *> workers,
                   const Clock &clock,
                   Counters &counters,
                   EndpointClientSettings settings = {});

    /// Closes all connections; attempts that run end as Unknown/Cancelled. Waits for their callbacks.
    /// Precondition: not called on a worker.
    ~EndpointClient() override;

    /// Where an endpoint listens; @p host is an IP address. A change closes the connections to the former address.
    void setAddress(const EndpointId &endpoint, const std::string &host, std::uint16_t port);

    void
    start(const EndpointId &endpoint, const EndpointRequest &request, int connectionBudget, Callback callback) override;
    void cancel(const EndpointId &endpoint, AttemptId attempt) override;
    void closeIdle(const EndpointId &endpoint) override;

    /// Connections to the endpoint: idle, busy and connecting ones.
    int openConnections(const EndpointId &endpoint) const;

private:
    class Core;
    std::shared_ptr<Core> core;
};

}
