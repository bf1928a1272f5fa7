#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "forwarding/connectionusage.h"
#include "forwarding/endpointstatementhandler.h"
#include "gateway/endpointconnection.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace Lycheewall
{

/**
 * The pool of connections to all endpoints. The number of connections to an endpoint is limited by
 * EndpointCall::connectionLimit; further calls are queued until a connection is idle.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointConnectionPool : public EndpointSender, public ConnectionUsageSource, private EndpointConnection::Owner
{
public:
    EndpointConnectionPool(boost::asio::io_context &io,
                           const Clock &clock,
                           TimerService &timers,
                           Counters &counters,
                           EndpointStatementHandler &statementHandler,
                           const EndpointCodec &codec);
    ~EndpointConnectionPool() override;

    std::shared_ptr<OutgoingCall> send(const EndpointCall &call, std::function<void(CallOutcome)> done) override;

    ConnectionUsage usageOf(const EndpointId &endpoint) const override;

    /// Closes idle connections to endpoints that take no new requests, and those whose keep-alive timeout is about to
    /// expire. Ends the calls that wait for a connection to such an endpoint, as not sent.
    void closeUnusableConnections();

    /// The memory of the responses that connections receive. It outlives the pool.
    const std::shared_ptr<ResponseMemory> &responseMemory() const;

    /// Number of connections to all endpoints, including those that are being established.
    std::size_t connectionCount() const;

private:
    class PooledCall;
    using ConnectionPtr = std::shared_ptr<EndpointConnection>;
    using CallPtr = std::shared_ptr<PooledCall>;
    /// The connections and the queued calls of one endpoint.
    struct EndpointConnections
    {
        std::weak_ptr<ServiceEndpoint> endpoint;
        std::list<ConnectionPtr> idle;
        std::unordered_map<EndpointConnection *, CallPtr> busy;
        std::unordered_map<EndpointConnection *, ConnectionPtr> connecting;
        std::deque<CallPtr> queued;

        std::size_t size() const
        {
            return this->idle.size() + this->busy.size() + this->connecting.size();
        }
    };

    void connected(const ConnectionPtr &connection) override;
    void connectFailed(const ConnectionPtr &connection) override;
    void requestFinished(const ConnectionPtr &connection,
                         const CallOutcome &outcome,
                         const EndpointResponseMetadata &info,
                         bool reusable) override;
    void closedWhileIdle(const ConnectionPtr &connection) override;

    EndpointConnections &connectionsOf(const ConnectionPtr &connection);
    ConnectionPtr acquireIdle(EndpointConnections &connections, bool nonIdempotent);
    void assign(EndpointConnections &connections, const ConnectionPtr &connection, const CallPtr &call);
    void dispatchQueued(EndpointConnections &connections);
    void openConnection(EndpointConnections &connections, const EndpointCall &call);
    void cancelCall(const CallPtr &call, Duration gracePeriod);
    void postFailure(const CallPtr &call);
    /// Applies what the response to @p call says about its endpoint.
    void updateEndpoint(const PooledCall &call, const CallOutcome &outcome, const EndpointResponseMetadata &info);
    /// Ends the calls that wait for a connection to an endpoint that takes no requests now, as not sent, so that they
    /// are sent to other endpoints.
    void failRejectedCalls(EndpointConnections &connections);
    void unregister(const ConnectionPtr &connection);
    /// Removes the connection from the pool and closes it.
    void discard(const ConnectionPtr &connection);

    boost::asio::io_context &io;
    const Clock &clock;
    TimerService &timers;
    Counters &counters;
    EndpointStatementHandler &statementHandler;
    const EndpointCodec &codec;
    /// Connections may outlive the pool in handlers of the event loop.
    std::shared_ptr<ResponseMemory> memory;
    std::unordered_map<EndpointId, EndpointConnections> connectionsByEndpoint;
    std::unordered_map<EndpointConnection *, EndpointId> endpointByConnection;
};

}
